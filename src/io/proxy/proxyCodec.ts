/**
 * @module
 * The codec that an adapter implements: decodes callers' requests, encodes requests to upstreams and decodes their
 * answers.
 */
import type { Result } from "true-myth/result";
import type { Refusal } from "../../core/errors/createRefusal.js";
import type { StatedLoad } from "../../core/load/loadTypes.js";
import type { Prompt } from "../../core/placement/placementTypes.js";
import type { StatedAnswer } from "../../core/proxy/judgeAnswerHead.js";
import type { HeaderPair, Placement, ProxyRequest } from "../../core/proxy/proxyTypes.js";
import type { AnswerSignals } from "../../core/signals/upstreamSignal.js";

/** The decoded head of a caller's request. */
export interface RequestHead {
    readonly id: string;
    readonly method: string;
    readonly host: string;
    /** Path and query, as received. */
    readonly target: string;
    /** The caller's timeout in milliseconds; undefined when the request has none. */
    readonly budgetMs: number | undefined;
    /** API key of the customer. */
    readonly credential: string | undefined;
    readonly prompt: Prompt | undefined;
    /** Prompt and maximum output tokens together; left out when the request states none. */
    readonly tokenCount?: number | undefined;
    /** A token count that cannot be read. */
    readonly malformedTokenCount?: string | undefined;
    readonly lastEventId: string | undefined;
    /** Headers to forward to the upstream. */
    readonly headers: readonly HeaderPair[];
}

/** The decoded head of an upstream's answer. */
export interface AnswerHead extends StatedAnswer {
    /** Whether the upstream reported that it did not and will not run the request. */
    readonly isNotRun: boolean;
    readonly retryAfterMs: number | undefined;
    /** Load that the upstream states; undefined when it states none that can be decoded. */
    readonly load: StatedLoad | undefined;
    /** What the upstream states about the requests that it wants. */
    readonly signals: AnswerSignals;
    /** Version of the weights that generated the answer. */
    readonly weightsVersion: number | undefined;
    /** Whether the upstream closes the connection after this answer. */
    readonly closesConnection: boolean;
    /** Headers to forward to the caller. */
    readonly headers: readonly HeaderPair[];
}

/** Inputs to the headers of one send. */
export interface SendInputs {
    readonly req: ProxyRequest;
    readonly placement: Placement;
    /** Milliseconds until the request's deadline. */
    readonly budgetMs: number;
    readonly lastEventId: string | undefined;
}

/** The codec. */
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
