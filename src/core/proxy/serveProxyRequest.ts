/**
 * @module
 * The control flow of a proxied request: place it, send it, and decide from the outcome whether to retry. What is known
 * about each send is kept until the final answer, so that "not run" is reported only when it is certain.
 */
import { spreadDelay } from "../_lib/spreadDelay.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import { performProxy, type ProxySteps } from "./proxyEffects.js";
import type { ProxyRequest, SendOutcome } from "./proxyTypes.js";

/** Why a request is retried. */
export type ProxyRetryReason = "notSent" | "rejected" | "lost" | "failed";

/** Callbacks of the steps, beside their effects. */
export interface ServeProxyDependencies {
    /** Acquires one retry from the retry budget; returns false when it is used up. */
    readonly tryAcquireRetry: (service: string) => boolean;
    /** Whether the retry budget has a retry left. */
    readonly hasRetry: (service: string) => boolean;
    /** Whether an upstream that works can run the request, other than the excluded ones. */
    readonly hasAlternative: (req: ProxyRequest, excluded: readonly string[]) => boolean;
    readonly onRetry: (reason: ProxyRetryReason) => void;
    /** Called when the request has ended and no upstream has run it. */
    readonly onNotRun?: () => void;
}

/** What is known about the sends so far. */
interface SendHistory {
    readonly excluded: readonly string[];
    /** Number of sends that the upstream may have run. */
    readonly possibleRuns: number;
    /** Total number of sends. */
    readonly sends: number;
    /** Whether the caller has received a part of the stream. */
    readonly hasStarted: boolean;
    /** Id of the last event that the caller has received. */
    readonly lastEventId: string | undefined;
    /** Whether the caller has received events that no id names, so that no upstream can go on after them. */
    readonly hasUnnamedEvents: boolean;
}

/** Maximum sends of one request, including those that did not reach an upstream or were rejected by one. */
const maxSends = 5;

/** Retry-after time for refused callers when the upstream does not give one. */
const defaultRetryAfterMs = 400;

/** Lowest status for which a retryable request is retried. */
const minFailureStatus = 500;

/**
 * Decides whether a request may run more than once.
 *
 * @param req - The request.
 * @returns True for idempotent requests and for streams that can be resumed.
 * @example
 * isRetryable(req);
 */
export function isRetryable(req: ProxyRequest): boolean {
    return req.route.kind === "idempotent" || (req.route.kind === "stream" && req.route.isResumable);
}

/** Returns whether the upstream may have run the request. */
function isPossibleRun(outcome: SendOutcome): boolean {
    return outcome.kind !== "notSent" && outcome.kind !== "rejected";
}

/** Returns whether any upstream may have run the request; what was delivered of a stream is part of a run. */
function mayHaveRun(history: SendHistory): boolean {
    return history.possibleRuns > 0 || history.hasStarted;
}

function findRetryReason(
    req: ProxyRequest,
    history: SendHistory,
    outcome: SendOutcome,
): ProxyRetryReason | undefined {
    switch (outcome.kind) {
        case "notSent":
        case "rejected":
            return outcome.kind;
        case "lost":
            return isRetryable(req) && !history.hasUnnamedEvents ? "lost" : undefined;
        case "answered":
            return isRetryable(req) && outcome.answer.status >= minFailureStatus ? "failed" : undefined;
        default:
            return undefined;
    }
}

/** Returns which limit the sends so far have reached; undefined when there may be another one. */
function findReachedLimit(req: ProxyRequest, history: SendHistory): string | undefined {
    if (history.sends >= maxSends) {
        return `the request was already sent ${history.sends} times`;
    }
    return history.possibleRuns >= req.route.attempts
        ? `its route allows at most ${req.route.attempts} runs`
        : undefined;
}

/** Returns why a request may not be retried; undefined when it may be. */
function findRetryObstacle(
    req: ProxyRequest,
    history: SendHistory,
    reason: ProxyRetryReason,
    deps: ServeProxyDependencies,
): string | undefined {
    const limit = findReachedLimit(req, history);
    if (limit !== undefined) {
        return limit;
    }
    // A send that reached no upstream adds no load there, so its retry is not charged to the budget.
    return reason === "notSent" || deps.tryAcquireRetry(req.service)
        ? undefined
        : "the retry budget of its service is used up";
}

/** Joins the error detail with the reason why the request is not retried. */
function joinDetails(detail: string, obstacle: string | undefined): string {
    return [detail, obstacle].filter(part => part !== undefined && part !== "").join("; ");
}

/** Creates the refusal that follows from all sends. */
function createFinalRefusal(
    req: ProxyRequest,
    history: SendHistory,
    outcome: SendOutcome,
    obstacle: string | undefined,
): Refusal {
    if (outcome.kind === "expired") {
        return createRefusal("deadlineExceeded", "the upstream did not answer in time");
    }
    if (outcome.kind === "stopped") {
        return createRefusal("outcomeUnknown", "the instance stopped before the answer was complete");
    }
    if (history.possibleRuns > 0) {
        return createRefusal("outcomeUnknown", joinDetails(outcome.kind === "lost" ? outcome.detail : "", obstacle));
    }
    if (outcome.kind === "rejected") {
        const detail = joinDetails(`the upstream answered ${outcome.status}`, obstacle);
        return createRefusal("upstreamNotReached", detail, {
            retryAfterMs: outcome.retryAfterMs ?? spreadDelay(defaultRetryAfterMs, req.id),
        });
    }
    const detail = joinDetails(outcome.kind === "notSent" ? outcome.detail : "", obstacle);
    return createRefusal("upstreamNotReached", detail, { retryAfterMs: spreadDelay(defaultRetryAfterMs, req.id) });
}

function recordSend(history: SendHistory, upstream: string, outcome: SendOutcome): SendHistory {
    const delivered = "delivered" in outcome ? outcome.delivered : undefined;
    return {
        excluded: [...history.excluded, upstream],
        possibleRuns: history.possibleRuns + (isPossibleRun(outcome) ? 1 : 0),
        sends: history.sends + 1,
        hasStarted: history.hasStarted || delivered !== undefined,
        lastEventId: delivered?.lastEventId ?? history.lastEventId,
        hasUnnamedEvents: history.hasUnnamedEvents
            || (delivered !== undefined && delivered.hasEvents && delivered.lastEventId === undefined),
    };
}

/** No answer can be delivered as a whole to a caller that has received a part of a stream. */
function takeOutcome(history: SendHistory, outcome: SendOutcome): SendOutcome {
    return history.hasStarted && outcome.kind === "answered"
        ? { kind: "lost", detail: `the upstream answered ${outcome.answer.status}`, delivered: undefined }
        : outcome;
}

/** Returns whether the request could be sent again if a send to the upstream were lost. */
function mayReplaceSend(
    req: ProxyRequest,
    history: SendHistory,
    upstream: string,
    deps: ServeProxyDependencies,
): boolean {
    const afterLoss = recordSend(history, upstream, { kind: "lost", detail: "", delivered: undefined });
    return isRetryable(req) && findReachedLimit(req, afterLoss) === undefined && deps.hasRetry(req.service)
        && deps.hasAlternative(req, afterLoss.excluded);
}

function* finish(
    req: ProxyRequest,
    history: SendHistory,
    outcome: SendOutcome,
    obstacle?: string,
): ProxySteps<void> {
    if (outcome.kind === "answered") {
        yield* performProxy({ kind: "answer", answer: outcome.answer });
        return;
    }
    if (history.hasStarted) {
        yield* performProxy({ kind: "cut", detail: outcome.kind });
        return;
    }
    yield* performProxy({ kind: "refuse", refusal: createFinalRefusal(req, history, outcome, obstacle) });
}

/**
 * Finishes a request that was not placed. A placement refusal reports "not run", which is true only if no send may have
 * run.
 */
function* finishUnplaced(
    req: ProxyRequest,
    history: SendHistory,
    refusal: Refusal,
    last: SendOutcome | undefined,
): ProxySteps<void> {
    if (last !== undefined && mayHaveRun(history)) {
        yield* finish(req, history, last);
        return;
    }
    yield* performProxy({ kind: "refuse", refusal });
}

/** Sends a request until its caller has its final answer or has disconnected, and returns what is known of the sends. */
function* serveBySends(req: ProxyRequest, deps: ServeProxyDependencies): ProxySteps<SendHistory> {
    let history: SendHistory = {
        excluded: [],
        possibleRuns: 0,
        sends: 0,
        hasStarted: false,
        lastEventId: req.lastEventId,
        hasUnnamedEvents: false,
    };
    let last: SendOutcome | undefined;
    for (;;) {
        const placed = yield* performProxy({
            kind: "place",
            excluded: history.excluded,
            mayHaveRun: mayHaveRun(history),
            hasStarted: history.hasStarted,
        });
        if (placed.kind === "callerGone") {
            return history;
        }
        if (placed.kind === "refused") {
            yield* finishUnplaced(req, history, placed.refusal, last);
            return history;
        }
        const { placement } = placed;
        const needsFreshConnection = !isRetryable(req) || history.sends > 0;
        const before = history;
        const { lastEventId } = before;
        const mayBeReplaced = () => mayReplaceSend(req, before, placement.upstream.id, deps);
        const outcome = yield* performProxy({
            kind: "send",
            placement,
            needsFreshConnection,
            lastEventId,
            mayBeReplaced,
        });
        last = takeOutcome(history, outcome);
        history = recordSend(history, placement.upstream.id, last);
        if (last.kind === "finished" || last.kind === "callerGone") {
            return history;
        }
        const reason = findRetryReason(req, history, last);
        const obstacle = reason === undefined ? undefined : findRetryObstacle(req, history, reason, deps);
        if (reason === undefined || obstacle !== undefined) {
            yield* finish(req, history, last, obstacle);
            return history;
        }
        deps.onRetry(reason);
    }
}

/**
 * Serves a request to its final answer.
 *
 * @param req - The request.
 * @param deps - The retry budget and the retry callback.
 * @returns Steps that end when the caller has its answer or has disconnected.
 * @example
 * runSteps(serveProxyRequest(req, deps), handlers, onDone, onError);
 */
export function* serveProxyRequest(req: ProxyRequest, deps: ServeProxyDependencies): ProxySteps<void> {
    const history = yield* serveBySends(req, deps);
    if (!mayHaveRun(history)) {
        deps.onNotRun?.();
    }
}
