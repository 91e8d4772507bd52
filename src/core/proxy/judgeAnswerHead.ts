/**
 * @module
 * Decides from the head of an upstream's answer what the answer is worth to the request that was sent.
 */
import type { AnswerFraming } from "./answerEnd.js";
import { classifyStatus } from "./classifyStatus.js";
import type { RejectionReason } from "./proxyTypes.js";

/** Type of an answer's body; `unstated`: its head states none. */
export type BodyType = "eventStream" | "other" | "unstated";

/** What the head of an answer states about the answer. */
export interface StatedAnswer {
    readonly status: number;
    /** Id of the request that is answered; undefined when the answer has no id. */
    readonly requestId: string | undefined;
    /** Why the upstream did not and will not run the request; undefined when it does not state this. */
    readonly rejection: RejectionReason | undefined;
    /** Whether the upstream's seal comes with it. */
    readonly isSealed: boolean;
    /** Whether the body is encoded, so that it is not the upstream's. */
    readonly isEncoded: boolean;
    readonly bodyType: BodyType;
    /** What marks the end of the answer. */
    readonly framing: AnswerFraming;
    /** Stated length of the body in bytes. */
    readonly bodyLength: number | undefined;
}

/** The request that an answer is judged for. */
export interface AnsweredRequest {
    readonly id: string;
    readonly method: string;
    readonly isStream: boolean;
    /** Whether it may run more than once. */
    readonly isRetryable: boolean;
    /** Whether the caller has received a part of the stream from an earlier send. */
    readonly hasStarted: boolean;
}

/** What an answer is worth.
 *
 * - `foreign`: it is not known to belong to the request, and says nothing about it.
 * - `unusable`: it belongs to the request and can be neither delivered nor believed.
 * - `rejection`: the upstream did not and will not run the request.
 * - `whole`: it is delivered as a whole.
 * - `stream`: its events are forwarded as they arrive.
 * - `continuation`: its events are forwarded if they go on after the last one that the caller has. */
export type AnswerUse =
    | { readonly kind: "foreign"; readonly detail: string; }
    | { readonly kind: "unusable"; readonly detail: string; }
    | { readonly kind: "rejection"; readonly reason: RejectionReason; }
    | { readonly kind: "whole"; }
    | { readonly kind: "stream"; }
    | { readonly kind: "continuation"; };

/** What an answer is worth that is neither foreign nor unusable. */
export type TakenAnswerUse = Exclude<AnswerUse, { readonly kind: "foreign" | "unusable"; }>;

const firstSuccess = 200;
const firstRedirect = 300;
const firstFailure = 400;

/** Statuses of answers without a body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 205, 304]);

/** Statuses by which callers know that their request has not run and will not run. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses with which an upstream can state that it did not run a request. */
const rejectionStatuses: ReadonlySet<number> = new Set([400, ...promiseStatuses]);

function isSuccess(head: StatedAnswer): boolean {
    return head.status >= firstSuccess && head.status < firstRedirect;
}

function mayHaveEvents(head: StatedAnswer, method: string): boolean {
    const isBodiless = method === "HEAD" || bodilessStatuses.has(head.status)
        || (head.framing === "contentLength" && head.bodyLength === 0);
    return !isBodiless && head.bodyType !== "other";
}

/** Finds why an answer is not to be believed. */
function findContradiction(head: StatedAnswer): string | undefined {
    if (classifyStatus(head.status) === "invalid") {
        return `the answer states ${head.status}, which is no status`;
    }
    if (head.status < firstFailure && head.rejection !== undefined) {
        return `the answer states ${head.status}, and that the request did not run`;
    }
    if (isSuccess(head) && !head.isSealed) {
        return "the answer is a success without the upstream's seal";
    }
    return isSuccess(head) && head.isEncoded ? "the body of the answer is encoded" : undefined;
}

function judgeContinuation(head: StatedAnswer, req: AnsweredRequest): AnswerUse {
    if (!isSuccess(head) || !mayHaveEvents(head, req.method)) {
        return { kind: "unusable", detail: `an answer with status ${head.status} does not continue the stream` };
    }
    return { kind: "continuation" };
}

function judgeFirstAnswer(head: StatedAnswer, req: AnsweredRequest): AnswerUse {
    if (promiseStatuses.has(head.status) && !req.isRetryable) {
        return { kind: "unusable", detail: `the upstream answered ${head.status} without stating that it did not run` };
    }
    return { kind: req.isStream && isSuccess(head) && mayHaveEvents(head, req.method) ? "stream" : "whole" };
}

/**
 * Judges the head of an answer. An answer is the request's own by its id alone: an upstream may write an earlier answer,
 * a rejection too, once more on any connection.
 *
 * @param head - What the head states; it is no interim answer.
 * @param req - The request that was sent.
 * @returns What the answer is worth.
 * @example
 * judgeAnswerHead({ ...head, status: 503, requestId: undefined, rejection: "busy" }, req).kind; // "foreign"
 */
export function judgeAnswerHead(head: StatedAnswer, req: AnsweredRequest): AnswerUse {
    if (head.requestId !== req.id) {
        return { kind: "foreign", detail: "the answer has the id of another request or none" };
    }
    if (head.rejection !== undefined && rejectionStatuses.has(head.status)) {
        return { kind: "rejection", reason: head.rejection };
    }
    const detail = findContradiction(head);
    if (detail !== undefined) {
        return { kind: "unusable", detail };
    }
    return req.hasStarted ? judgeContinuation(head, req) : judgeFirstAnswer(head, req);
}
