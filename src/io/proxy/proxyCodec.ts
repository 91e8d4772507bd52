/**
 * @module
 * Functions that an adapter provides to read callers' requests, to write requests to upstreams and to read their answers.
 */
import type { Result } from "true-myth/result";
import type { Refusal } from "../../core/errors/createRefusal.js";
import type { Prompt } from "../../core/placement/placementTypes.js";
import type { HeaderPair, Placement, ProxyRequest, RejectionReason } from "../../core/proxy/proxyTypes.js";

/** What the head of a caller's request says. */
export interface RequestHead {
    readonly id: string;
    readonly method: string;
    readonly host: string;
    /** Path and query, as received. */
    readonly target: string;
    /** Milliseconds that the caller waits; undefined when it does not say. */
    readonly budgetMs: number | undefined;
    /** Key of the customer. */
    readonly credential: string | undefined;
    readonly prompt: Prompt | undefined;
    readonly lastEventId: string | undefined;
    /** Headers to be passed on. */
    readonly headers: readonly HeaderPair[];
}

/** An upstream's load, as it tells with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
    readonly status: number;
    /** Id of the request that is answered; undefined when the answer does not say. */
    readonly requestId: string | undefined;
    /** Whether the upstream says that it did not and will not run the request. */
    readonly isNotRun: boolean;
    /** Why it was not run; undefined when it was. */
    readonly rejection: RejectionReason | undefined;
    readonly retryAfterMs: number | undefined;
    readonly load: ReportedLoad | undefined;
    /** Version of the weights that the answer is made with. */
    readonly weightsVersion: number | undefined;
    /** Whether the upstream closes the connection after this answer. */
    readonly closesConnection: boolean;
    /** Whether the answer has no length and ends with the connection. */
    readonly endsWithConnection: boolean;
    /** Headers to be passed on to the caller. */
    readonly headers: readonly HeaderPair[];
}

/** What is added to a request for one send. */
export interface SendInputs {
    readonly req: ProxyRequest;
    readonly placement: Placement;
    /** Milliseconds that are left. */
    readonly budgetMs: number;
    readonly lastEventId: string | undefined;
}

/** The adapter's functions. */
export interface ProxyCodec {
    readonly readRequest: (
        method: string,
        target: string,
        rawHeaders: readonly string[],
    ) => Result<RequestHead, Refusal>;
    readonly writeHeaders: (inputs: SendInputs) => readonly HeaderPair[];
    /** `expectedInstance`: id of the upstream that the request was sent to. */
    readonly readAnswer: (status: number, headers: readonly HeaderPair[], expectedInstance: string) => AnswerHead;
}
