/**
 * @module
 * The life of a request with opaque content: place, send, and decide what the outcome of the send allows. What is known
 * of each send is carried from the connection to the answer, so that "not run" is said only when it is true.
 */
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import { performProxy, type ProxySteps } from "./proxyEffects.js";
import type { ProxyRequest, SendOutcome } from "./proxyTypes.js";

/** Why a request is sent again. */
export type RetryReason = "notSent" | "rejected" | "lost" | "failed";

/** What the steps ask beside their effects. */
export interface ServeProxyDependencies {
    /** Takes one repeat from the fleet's budget. */
    readonly tryAcquireRetry: (service: string) => boolean;
    readonly onRetry: (reason: RetryReason) => void;
}

/** What is known of the sends so far. */
interface SendHistory {
    readonly excluded: readonly string[];
    /** Sends that may have run. */
    readonly possibleRuns: number;
    /** Sends in all. */
    readonly sends: number;
    /** Whether the caller has a part of the stream, and up to which event. */
    readonly hasBegun: boolean;
    readonly lastEventId: string | undefined;
}

/** Most sends of one request that did not reach an upstream or were rejected by one. */
const maxSends = 5;

/** Milliseconds after which a refused caller may return, when the upstream does not say. */
const defaultRetryAfterMs = 400;

/** Least status of an answer that a repeatable request is sent again for. */
const failureStatus = 500;

/**
 * Decides whether a request may run more than once.
 *
 * @param req - The request.
 * @returns True for idempotent requests and for streams that can be resumed.
 * @example
 * isRepeatable(req);
 */
export function isRetryable(req: ProxyRequest): boolean {
    return req.route.kind === "idempotent" || (req.route.kind === "stream" && req.route.isResumable);
}

/** Whether the outcome leaves open that the upstream ran the request. */
function mayHaveRun(outcome: SendOutcome): boolean {
    return outcome.kind !== "notSent" && outcome.kind !== "rejected";
}

function findRepeatReason(req: ProxyRequest, outcome: SendOutcome): RetryReason | undefined {
    switch (outcome.kind) {
        case "notSent":
        case "rejected":
            return outcome.kind;
        case "lost":
            return isRetryable(req) ? "lost" : undefined;
        case "answered":
            return isRetryable(req) && outcome.answer.status >= failureStatus ? "failed" : undefined;
        default:
            return undefined;
    }
}

/** Why a request is not sent again; undefined when it may be. */
function findRepeatObstacle(
    req: ProxyRequest,
    history: SendHistory,
    reason: RetryReason,
    deps: ServeProxyDependencies,
): string | undefined {
    if (history.sends >= maxSends) {
        return `it was sent ${history.sends} times`;
    }
    if (history.possibleRuns >= req.route.attempts) {
        return `its route allows ${req.route.attempts} runs`;
    }
    // A request that no upstream has received does not count as a repeat there.
    return reason === "notSent" || deps.tryAcquireRetry(req.service)
        ? undefined
        : "the repeats of its service are used up";
}

/** Joins what was wrong with why the request is not sent again. */
function joinDetails(detail: string, obstacle: string | undefined): string {
    return [detail, obstacle].filter(part => part !== undefined && part !== "").join("; ");
}

/** The refusal that is true after all sends. */
function describeEnd(history: SendHistory, outcome: SendOutcome, obstacle: string | undefined): Refusal {
    if (outcome.kind === "expired") {
        return createRefusal("deadlineExceeded", "the upstream had not answered");
    }
    if (history.possibleRuns > 0) {
        return createRefusal("outcomeUnknown", joinDetails(outcome.kind === "lost" ? outcome.detail : "", obstacle));
    }
    if (outcome.kind === "rejected") {
        const detail = joinDetails(`the upstream answered ${outcome.status}`, obstacle);
        return createRefusal("upstreamNotReached", detail, {
            retryAfterMs: outcome.retryAfterMs ?? defaultRetryAfterMs,
        });
    }
    const detail = joinDetails(outcome.kind === "notSent" ? outcome.detail : "", obstacle);
    return createRefusal("upstreamNotReached", detail, { retryAfterMs: defaultRetryAfterMs });
}

function noteSend(history: SendHistory, upstream: string, outcome: SendOutcome): SendHistory {
    const delivered = outcome.kind === "lost" || outcome.kind === "expired" ? outcome.delivered : undefined;
    return {
        excluded: [...history.excluded, upstream],
        possibleRuns: history.possibleRuns + (mayHaveRun(outcome) ? 1 : 0),
        sends: history.sends + 1,
        hasBegun: history.hasBegun || delivered !== undefined,
        lastEventId: delivered?.lastEventId ?? history.lastEventId,
    };
}

function* end(history: SendHistory, outcome: SendOutcome, obstacle?: string): ProxySteps<void> {
    if (outcome.kind === "answered") {
        yield* performProxy({ kind: "answer", answer: outcome.answer });
        return;
    }
    if (history.hasBegun) {
        yield* performProxy({ kind: "cut", detail: outcome.kind });
        return;
    }
    yield* performProxy({ kind: "refuse", refusal: describeEnd(history, outcome, obstacle) });
}

/** A refusal to place says "not run", which is true only if no send may have run. */
function* endUnplaced(history: SendHistory, refusal: Refusal, last: SendOutcome | undefined): ProxySteps<void> {
    if (last !== undefined && (history.possibleRuns > 0 || history.hasBegun)) {
        yield* end(history, last);
        return;
    }
    yield* performProxy({ kind: "refuse", refusal });
}

/**
 * Serves a request to its final answer.
 *
 * @param req - The request.
 * @param deps - The retry budget and its counters.
 * @returns Steps that end when the caller has its answer or is gone.
 * @example
 * runSteps(serveProxyRequest(req, deps), handlers, onDone, onError);
 */
export function* serveProxyRequest(req: ProxyRequest, deps: ServeProxyDependencies): ProxySteps<void> {
    let history: SendHistory = {
        excluded: [],
        possibleRuns: 0,
        sends: 0,
        hasBegun: false,
        lastEventId: req.lastEventId,
    };
    let last: SendOutcome | undefined;
    for (;;) {
        const placed = yield* performProxy({ kind: "place", excluded: history.excluded });
        if (placed.kind === "callerGone") {
            return;
        }
        if (placed.kind === "refused") {
            yield* endUnplaced(history, placed.refusal, last);
            return;
        }
        const { placement } = placed;
        const needsFreshConnection = !isRetryable(req) || history.sends > 0;
        const { lastEventId } = history;
        last = yield* performProxy({ kind: "send", placement, needsFreshConnection, lastEventId });
        history = noteSend(history, placement.upstream.id, last);
        if (last.kind === "finished" || last.kind === "callerGone") {
            return;
        }
        const reason = findRepeatReason(req, last);
        const obstacle = reason === undefined ? undefined : findRepeatObstacle(req, history, reason, deps);
        if (reason === undefined || obstacle !== undefined) {
            yield* end(history, last, obstacle);
            return;
        }
        deps.onRetry(reason);
    }
}
