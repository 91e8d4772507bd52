/**
 * @module
 * One attempt of a call at one upstream of a plain service.
 */
import type { Upstream } from "../catalogue/catalogueEntry.js";
import type { AnswerHead, CompleteAnswer, Steps, UpstreamCall } from "../effects/effectTypes.js";
import { perform } from "../effects/perform.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { ExecutionOutcome } from "../errors/errorTable.js";
import type { ServiceRequest } from "./requestTypes.js";
import type { RetryReason } from "./retryTypes.js";
import { type AttemptTracker, trackAttempt } from "./trackAttempt.js";

/** How an attempt of a service call ended. */
export type ServiceCallEnd =
    | { readonly kind: "answered"; readonly answer: CompleteAnswer; }
    | { readonly kind: "callerGone"; }
    | {
        readonly kind: "failed";
        readonly reason: RetryReason;
        readonly refusal: Refusal;
        readonly outcome: ExecutionOutcome;
    };

/** Options of one attempt. */
export interface ServiceCallOptions {
    readonly upstream: Upstream;
    /** Number of the attempt, from 0; part of the correlation id. */
    readonly attempt: number;
    /** Time limit for the head of the answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Time until the deadline of the request, in milliseconds. */
    readonly remainingMs: number;
}

/** Retry delay for callers when the service states none. */
const defaultRetryAfterMs = 1_000;

function createCall(req: ServiceRequest, options: ServiceCallOptions): UpstreamCall {
    const correlationId = `${req.requestId}/${options.attempt}`;
    const headers: Record<string, string> = {
        "x-correlation-id": correlationId,
        "x-deadline-ms": String(Math.max(1, Math.floor(options.remainingMs))),
    };
    if (req.contentType !== undefined) {
        headers["content-type"] = req.contentType;
    }
    if (req.idempotencyKey !== undefined) {
        headers["idempotency-key"] = req.idempotencyKey;
    }
    return {
        upstream: options.upstream,
        method: req.method,
        path: req.path,
        headers,
        body: req.body.length === 0 ? undefined : req.body,
        correlationId,
        timeoutMs: Math.max(1, Math.floor(options.timeoutMs)),
        // A pooled connection may be dead undetected; only a failed connect proves that nothing was sent.
        needsNewConnection: req.isNonIdempotent || options.attempt > 0,
        outlivesCaller: req.isNonIdempotent,
    };
}

function fail(attempt: AttemptTracker, reason: RetryReason, refusal: Refusal): ServiceCallEnd {
    return { kind: "failed", reason, refusal, outcome: attempt.outcome() };
}

function* readAnswer(req: ServiceRequest, head: AnswerHead, attempt: AttemptTracker): Steps<ServiceCallEnd> {
    if (head.isNotRun) {
        attempt.recordEvent("refusedNotRun");
        const retryAfterMs = head.retryAfterMs ?? defaultRetryAfterMs;
        const refusal = createRefusal("upstreamNotReached", "the service did not run the call", { retryAfterMs });
        return fail(attempt, "upstreamNotRun", refusal);
    }
    attempt.recordEvent("answer");
    const collected = yield* perform({ kind: "collect", deadlineMs: req.deadlineMs });
    if (collected.kind === "whole") {
        const { status, contentType } = head;
        return { kind: "answered", answer: { status, contentType, body: collected.body } };
    }
    if (collected.end === "callerGone") {
        return { kind: "callerGone" };
    }
    attempt.recordEvent("interrupt");
    return fail(attempt, "lost", createRefusal("outcomeUnknown", collected.end));
}

/**
 * Runs one attempt.
 *
 * @param req - The call.
 * @param options - Upstream, attempt number and time limits.
 * @returns Steps that return the answer or how the attempt failed.
 * @example
 * const end = yield* runServiceCall(req, { upstream, attempt: 0, timeoutMs, remainingMs });
 */
export function* runServiceCall(req: ServiceRequest, options: ServiceCallOptions): Steps<ServiceCallEnd> {
    const attempt = trackAttempt();
    attempt.recordEvent("send");
    const sent = yield* perform({ kind: "send", call: createCall(req, options) });
    switch (sent.kind) {
        case "answered":
            return yield* readAnswer(req, sent.head, attempt);
        case "notSent": {
            attempt.recordEvent("notSent");
            const refusal = createRefusal("upstreamNotReached", sent.detail, { retryAfterMs: defaultRetryAfterMs });
            return fail(attempt, "notSent", refusal);
        }
        case "lost":
            attempt.recordEvent("lose");
            return fail(attempt, "lost", createRefusal("outcomeUnknown", sent.detail));
        case "callerGone":
            return { kind: "callerGone" };
    }
}
