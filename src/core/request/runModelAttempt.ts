/**
 * @module
 * One attempt of a model request at one engine.
 */
import { blockTokens, millisecondsPerSecond } from "../constants.js";
import type { AnswerHead, ForwardEnd, Steps, UpstreamCall } from "../effects/effectTypes.js";
import { perform } from "../effects/perform.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { ExecutionOutcome } from "../errors/errorTable.js";
import type { RouteFeedback, RouteRequest } from "../routing/routeTypes.js";
import { readOutputTokens } from "./readOutputTokens.js";
import type { ModelRequest } from "./requestTypes.js";
import type { RetryReason } from "./retryTypes.js";
import { type AttemptTracker, trackAttempt } from "./trackAttempt.js";

/** The engine process that started an answer. */
export interface AnswerOrigin {
    readonly upstream: string;
    readonly incarnation: string | undefined;
}

/** Progress of an answer, passed from one attempt to the next. */
export interface AnswerProgress {
    /** Complete events that were sent to the caller. */
    readonly delivered: number;
    readonly outputTokens: number;
    readonly cachedTokens: number;
    readonly origin: AnswerOrigin | undefined;
}

/** How an attempt ended. */
export interface AttemptEnd {
    readonly kind: "done" | "retry" | "failed";
    /** Present when the attempt may be retried. */
    readonly reason: RetryReason | undefined;
    /** Undefined when the answer was complete. */
    readonly refusal: Refusal | undefined;
    readonly outcome: ExecutionOutcome;
    readonly progress: AnswerProgress;
}

/** Retry delay for callers when the engine states none. */
const defaultRetryAfterMs = millisecondsPerSecond;

type Classification = Pick<AttemptEnd, "kind" | "reason" | "refusal">;

function retry(reason: RetryReason, refusal: Refusal): Classification {
    return { kind: "retry", reason, refusal };
}

function fail(refusal: Refusal): Classification {
    return { kind: "failed", reason: undefined, refusal };
}

const done: Classification = { kind: "done", reason: undefined, refusal: undefined };

/** Checks whether an answer comes from the weights version of the request, or from the process that started it. */
function hasExpectedWeights(
    req: ModelRequest,
    call: UpstreamCall,
    head: AnswerHead,
    progress: AnswerProgress,
): boolean {
    if (head.weightsVersion !== undefined) {
        return head.weightsVersion === req.model.weightsVersion;
    }
    const { origin, delivered } = progress;
    const isSameProcess = origin?.upstream === call.upstream.id && origin.incarnation !== undefined
        && origin.incarnation === head.incarnation;
    return delivered === 0 || isSameProcess;
}

function classifyHead(
    req: ModelRequest,
    call: UpstreamCall,
    head: AnswerHead,
    progress: AnswerProgress,
    attempt: AttemptTracker,
): Classification | undefined {
    if (head.isNotRun) {
        attempt.recordEvent("refusedNotRun");
        const retryAfterMs = head.retryAfterMs ?? defaultRetryAfterMs;
        return retry(
            "upstreamNotRun",
            createRefusal("upstreamNotReached", "the engine did not run the request", { retryAfterMs }),
        );
    }
    if (head.status >= 500) {
        attempt.recordEvent("lose");
        return retry("lost", createRefusal("outcomeUnknown", `status ${head.status}`));
    }
    if (head.status >= 400) {
        attempt.recordEvent("rejected");
        return fail(createRefusal("upstreamRejected", `status ${head.status}`));
    }
    attempt.recordEvent("answer");
    if (!hasExpectedWeights(req, call, head, progress)) {
        attempt.recordEvent("interrupt");
        return retry("wrongVersion", createRefusal("streamInterrupted", "the engine runs a different weights version"));
    }
    return undefined;
}

function classifyEnd(end: ForwardEnd, delivered: number): Classification {
    switch (end) {
        case "complete":
            return done;
        case "callerGone":
            return fail(createRefusal("cancelled", ""));
        case "callerStalled":
            return fail(createRefusal("cancelled", "the caller stopped reading"));
        case "deadline":
            return fail(createRefusal("deadlineExceeded", `after ${delivered} events`));
        case "cut":
        case "silent":
        case "outOfOrder":
            return retry(end, createRefusal("streamInterrupted", `after ${delivered} events`));
    }
}

interface AttemptResult {
    readonly classification: Classification;
    readonly progress: AnswerProgress;
}

function* forwardStream(req: ModelRequest, progress: AnswerProgress): Steps<AttemptResult> {
    const { end, delivered, outputTokens } = yield* perform({ kind: "forward", deadlineMs: req.deadlineMs });
    return { classification: classifyEnd(end, delivered), progress: { ...progress, delivered, outputTokens } };
}

function* readBufferedResponse(req: ModelRequest, head: AnswerHead, progress: AnswerProgress): Steps<AttemptResult> {
    const collected = yield* perform({ kind: "collect", deadlineMs: req.deadlineMs });
    if (collected.kind === "broken") {
        return { classification: classifyEnd(collected.end, 0), progress };
    }
    const { status, contentType } = head;
    yield* perform({ kind: "answer", answer: { status, contentType, body: collected.body } });
    const outputTokens = readOutputTokens(collected.body) ?? req.maxOutputTokens;
    return { classification: done, progress: { ...progress, outputTokens } };
}

function createFeedback(call: UpstreamCall, route: RouteRequest, head: AnswerHead): RouteFeedback {
    const { cachedTokens, incarnation, weightsVersion, load } = head;
    const cachedBlocks = cachedTokens === undefined ? undefined : Math.floor(cachedTokens / blockTokens);
    return { upstream: call.upstream.id, req: route, cachedBlocks, incarnation, weightsVersion, load };
}

function* sendAndRead(
    req: ModelRequest,
    call: UpstreamCall,
    route: RouteRequest,
    progress: AnswerProgress,
    attempt: AttemptTracker,
    reportFeedback: (feedback: RouteFeedback) => void,
): Steps<AttemptResult> {
    attempt.recordEvent("send");
    const sent = yield* perform({ kind: "send", call });
    if (sent.kind === "notSent") {
        attempt.recordEvent("notSent");
        const options = { retryAfterMs: defaultRetryAfterMs };
        return {
            classification: retry("notSent", createRefusal("upstreamNotReached", sent.detail, options)),
            progress,
        };
    }
    if (sent.kind !== "answered") {
        attempt.recordEvent("lose");
        const isDisconnected = sent.kind === "callerGone";
        const classification = isDisconnected
            ? fail(createRefusal("cancelled", ""))
            : retry("lost", createRefusal("outcomeUnknown", sent.detail));
        return { classification, progress };
    }
    const { head } = sent;
    const headClassification = classifyHead(req, call, head, progress, attempt);
    if (headClassification !== undefined) {
        return { classification: headClassification, progress };
    }
    if (progress.delivered === 0) {
        reportFeedback(createFeedback(call, route, head));
    }
    const started: AnswerProgress = {
        ...progress,
        cachedTokens: head.cachedTokens ?? 0,
        origin: { upstream: call.upstream.id, incarnation: head.incarnation },
    };
    return req.isStreaming ? yield* forwardStream(req, started) : yield* readBufferedResponse(req, head, started);
}

/**
 * Runs one attempt: sends the call, checks the head and forwards the body.
 *
 * @param req - The request.
 * @param call - The call of this attempt.
 * @param route - The routing request.
 * @param progress - Progress of the answer in the previous attempts.
 * @param reportFeedback - Reports to routing what the engine had cached.
 * @returns Steps that return how the attempt ended.
 * @example
 * const end = yield* runModelAttempt(req, call, route, progress, reportFeedback);
 */
export function* runModelAttempt(
    req: ModelRequest,
    call: UpstreamCall,
    route: RouteRequest,
    progress: AnswerProgress,
    reportFeedback: (feedback: RouteFeedback) => void,
): Steps<AttemptEnd> {
    const attempt = trackAttempt();
    const result = yield* sendAndRead(req, call, route, progress, attempt, reportFeedback);
    attempt.recordEvent(result.classification.kind === "done" ? "complete" : "interrupt");
    return { ...result.classification, outcome: attempt.outcome(), progress: result.progress };
}
