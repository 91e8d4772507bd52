/**
 * @module
 * Processing of a model request, from admission to the last byte of the answer.
 */
import { type CacheScope, hashBlocks } from "../cache/hashBlocks.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";
import { charactersPerToken } from "../constants.js";
import type { Steps } from "../effects/effectTypes.js";
import { perform } from "../effects/perform.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { ExecutionOutcome } from "../errors/errorTable.js";
import type { RequestCost } from "../limits/admissionTypes.js";
import type { CandidateCost, RouteRequest } from "../routing/routeTypes.js";
import { alignRefusal } from "./alignRefusal.js";
import { combineOutcomes } from "./combineOutcomes.js";
import { computeRetryDelay } from "./computeRetryDelay.js";
import { createModelCall } from "./createModelCall.js";
import { deriveStreamIdentity, type StreamIdentity } from "./deriveStreamIdentity.js";
import type { AttemptReport, ModelRequestDependencies, ModelRequestReport } from "./modelRequestTypes.js";
import type { ModelRequest } from "./requestTypes.js";
import type { RetryDenial, RetryReason } from "./retryTypes.js";
import { type AnswerProgress, type AttemptEnd, runModelAttempt } from "./runModelAttempt.js";

export type * from "./modelRequestTypes.js";
export type { RetryReason } from "./retryTypes.js";

/** Maximum number of attempts over all upstreams. */
const maxAttempts = 6;

/** Maximum number of consecutive attempts that resume the stream at the same engine. */
const maxResumes = 2;

/** Time for a caller's retry to join a stream before the stream is cancelled at the engine. */
export const retryJoinWindowMs = 2_000;

/** Reasons after which the engine may still have the stream. */
const resumableReasons: ReadonlySet<RetryReason> = new Set(["lost", "cut", "silent", "outOfOrder"]);

interface Target {
    readonly upstream: Upstream;
    readonly cachedBlocks: number;
    readonly candidates: readonly CandidateCost[];
    /** Consecutive attempts that resumed the stream there without a new event. */
    readonly resumes: number;
}

interface RequestProgress {
    readonly answer: AnswerProgress;
    readonly outcome: ExecutionOutcome;
    readonly attempts: readonly AttemptReport[];
    readonly excluded: ReadonlySet<string>;
    readonly target: Target | undefined;
    /** Why the latest attempt failed; undefined before the first and after a complete one. */
    readonly refusal: Refusal | undefined;
    readonly reason: RetryReason | undefined;
    readonly isFinished: boolean;
}

const initialProgress: RequestProgress = {
    answer: { delivered: 0, outputTokens: 0, cachedTokens: 0, origin: undefined },
    outcome: "notRun",
    attempts: [],
    excluded: new Set(),
    target: undefined,
    refusal: undefined,
    reason: undefined,
    isFinished: false,
};

function toRouteRequest(req: ModelRequest): RouteRequest {
    const scope: CacheScope = {
        customer: req.customer.id,
        model: req.model.id,
        weightsVersion: req.model.weightsVersion,
        adapter: req.model.adapter,
    };
    return {
        scope,
        blocks: hashBlocks(scope, req.prompt),
        promptTokens: Math.ceil(req.prompt.length / charactersPerToken),
        excluded: new Set(),
    };
}

function endRequest(progress: RequestProgress, refusal: Refusal): RequestProgress {
    return { ...progress, refusal, isFinished: true };
}

function deny(progress: RequestProgress, denial: RetryDenial, dependencies: ModelRequestDependencies): RequestProgress {
    dependencies.countDenial(denial);
    return { ...progress, isFinished: true };
}

function canResume(progress: RequestProgress): boolean {
    return progress.target !== undefined && progress.target.resumes < maxResumes && progress.reason !== undefined
        && resumableReasons.has(progress.reason);
}

/** Chooses the same engine when it may still have the stream, otherwise another one. */
function chooseTarget(
    progress: RequestProgress,
    route: RouteRequest,
    dependencies: ModelRequestDependencies,
): RequestProgress {
    const { target } = progress;
    if (target !== undefined && canResume(progress)) {
        return { ...progress, target: { ...target, resumes: target.resumes + 1 } };
    }
    const excluded = target === undefined ? progress.excluded : new Set([...progress.excluded, target.upstream.id]);
    const decision = dependencies.chooseUpstream({ ...route, excluded });
    if (decision.isErr) {
        return progress.refusal === undefined
            ? endRequest(progress, decision.error)
            : deny(progress, "noUpstream", dependencies);
    }
    return { ...progress, excluded, target: { ...decision.value, resumes: 0 } };
}

/** A retry that repeats work from the start consumes budget; one after an attempt that ran or may have run does not. */
function tryAcquireRetry(progress: RequestProgress, dependencies: ModelRequestDependencies): boolean {
    return progress.outcome !== "notRun" || dependencies.retryBudget.tryAcquire();
}

function* prepareRetry(
    req: ModelRequest,
    progress: RequestProgress,
    dependencies: ModelRequestDependencies,
): Steps<RequestProgress> {
    if (progress.attempts.length >= maxAttempts) {
        return deny(progress, "attempts", dependencies);
    }
    if (!tryAcquireRetry(progress, dependencies)) {
        return deny(progress, "budget", dependencies);
    }
    const delayMs = computeRetryDelay(progress.attempts.length - 1, dependencies.random);
    if (dependencies.now() + delayMs >= req.deadlineMs) {
        return deny(progress, "deadline", dependencies);
    }
    const waited = yield* perform({ kind: "wait", delayMs, outlivesCaller: false });
    return waited === "callerGone" ? endRequest(progress, createRefusal("cancelled", "")) : progress;
}

function applyAttemptEnd(progress: RequestProgress, target: Target, end: AttemptEnd): RequestProgress {
    const { upstream, cachedBlocks, candidates } = target;
    const result = end.kind === "done" ? "complete" : end.reason ?? "failed";
    const hasProgress = end.progress.delivered > progress.answer.delivered;
    return {
        ...progress,
        target: hasProgress ? { ...target, resumes: 0 } : target,
        answer: end.progress,
        outcome: combineOutcomes(progress.outcome, end.outcome),
        attempts: [...progress.attempts, { upstream: upstream.id, cachedBlocks, candidates, result }],
        refusal: end.refusal,
        reason: end.reason,
        isFinished: end.kind !== "retry",
    };
}

function* attemptOnce(
    req: ModelRequest,
    route: RouteRequest,
    identity: StreamIdentity,
    progress: RequestProgress,
    dependencies: ModelRequestDependencies,
): Steps<RequestProgress> {
    const chosen = chooseTarget(progress, route, dependencies);
    const { target } = chosen;
    if (chosen.isFinished || target === undefined) {
        return chosen;
    }
    if (progress.reason !== undefined) {
        dependencies.countRetry(progress.reason);
    }
    const call = createModelCall(req, {
        upstream: target.upstream,
        scope: route.scope,
        identity,
        attempt: progress.attempts.length,
        delivered: progress.answer.delivered,
        needsNewConnection: progress.attempts.length > 0,
        nowMs: dependencies.now(),
        silenceTimeoutMs: dependencies.silenceTimeoutMs,
    });
    dependencies.trackInFlight(target.upstream.id, 1);
    const end = yield* runModelAttempt(req, call, route, progress.answer, dependencies.reportFeedback);
    dependencies.trackInFlight(target.upstream.id, -1);
    return applyAttemptEnd(chosen, target, end);
}

function* runAttempts(
    req: ModelRequest,
    route: RouteRequest,
    identity: StreamIdentity,
    dependencies: ModelRequestDependencies,
): Steps<RequestProgress> {
    let progress = initialProgress;
    dependencies.retryBudget.recordRequest();
    while (!progress.isFinished) {
        if (dependencies.now() >= req.deadlineMs) {
            const kind = progress.outcome === "notRun" ? "deadlineBeforeSend" : "deadlineExceeded";
            return endRequest(progress, createRefusal(kind, ""));
        }
        progress = yield* attemptOnce(req, route, identity, progress, dependencies);
        if (!progress.isFinished) {
            progress = yield* prepareRetry(req, progress, dependencies);
        }
    }
    return progress;
}

/** Cancels a generation without readers; with an idempotency key, after the time in which a retry can join it. */
function* cancelUnreadStream(
    req: ModelRequest,
    identity: StreamIdentity,
    progress: RequestProgress,
    dependencies: ModelRequestDependencies,
): Steps<void> {
    if (progress.target === undefined || progress.outcome === "notRun") {
        return;
    }
    yield* perform({
        kind: "cancel",
        upstream: progress.target.upstream,
        streamId: identity.streamId,
        delayMs: req.idempotencyKey === undefined ? 0 : retryJoinWindowMs,
        isWanted: () => !dependencies.readers.has(identity.streamId),
    });
}

function computeUsed(progress: RequestProgress, cost: RequestCost): RequestCost {
    return {
        promptTokens: progress.outcome === "notRun" ? 0 : cost.promptTokens,
        outputTokens: progress.answer.outputTokens,
    };
}

function* finish(
    req: ModelRequest,
    identity: StreamIdentity,
    progress: RequestProgress,
    cost: RequestCost,
    dependencies: ModelRequestDependencies,
): Steps<ModelRequestReport> {
    const refusal = progress.refusal === undefined ? undefined : alignRefusal(progress.refusal, progress.outcome);
    if (refusal !== undefined) {
        yield* perform({ kind: "refuse", refusal });
        yield* cancelUnreadStream(req, identity, progress, dependencies);
    }
    yield* perform({ kind: "settle", requestId: req.requestId, used: computeUsed(progress, cost) });
    return {
        upstream: progress.target?.upstream.id,
        cachedTokens: progress.answer.cachedTokens,
        promptTokens: cost.promptTokens,
        outputTokens: progress.answer.outputTokens,
        attempts: progress.attempts,
        refusal,
    };
}

/**
 * Serves a model request: admission, choice of the upstream, sending, forwarding, resuming and safe retries.
 *
 * @param req - The validated request.
 * @param dependencies - Routing, retries and counters.
 * @returns Steps that return a report of how the request ended.
 * @example
 * runSteps(serveModelRequest(req, dependencies), handlers, onDone, onError);
 */
export function* serveModelRequest(
    req: ModelRequest,
    dependencies: ModelRequestDependencies,
): Steps<ModelRequestReport> {
    const route = toRouteRequest(req);
    const identity = deriveStreamIdentity(req);
    const cost: RequestCost = { promptTokens: route.promptTokens, outputTokens: req.maxOutputTokens };
    const verdict = yield* perform({
        kind: "admit",
        req: { requestId: req.requestId, customer: req.customer, cost, deadlineMs: req.deadlineMs },
    });
    if (verdict.kind === "refused") {
        yield* perform({ kind: "refuse", refusal: verdict.refusal });
        const { promptTokens } = route;
        const { refusal } = verdict;
        return { upstream: undefined, cachedTokens: 0, promptTokens, outputTokens: 0, attempts: [], refusal };
    }
    dependencies.readers.add(identity.streamId);
    const progress = yield* runAttempts(req, route, identity, dependencies);
    dependencies.readers.remove(identity.streamId);
    return yield* finish(req, identity, progress, cost, dependencies);
}
