/**
 * @module
 * The life of a model request, from admission to the last byte of the answer.
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

/** Attempts at all upstreams together. */
const maxAttempts = 6;

/** Attempts in a row that join the stream at the same engine. */
const maxResumes = 2;

/** Time that a caller's retry has to join a stream before it is cancelled at the engine, in milliseconds. */
export const retryJoinMs = 2_000;

/** Reasons after which the engine may still hold the stream. */
const resumableReasons: ReadonlySet<RetryReason> = new Set(["lost", "cut", "silent", "outOfOrder"]);

interface Target {
    readonly upstream: Upstream;
    readonly cachedBlocks: number;
    readonly candidates: readonly CandidateCost[];
    /** Attempts in a row that joined the stream there. */
    readonly resumes: number;
}

interface Life {
    readonly progress: AnswerProgress;
    readonly outcome: ExecutionOutcome;
    readonly attempts: readonly AttemptReport[];
    readonly excluded: ReadonlySet<string>;
    readonly target: Target | undefined;
    /** Why the latest attempt failed; undefined before the first and after a complete one. */
    readonly refusal: Refusal | undefined;
    readonly reason: RetryReason | undefined;
    readonly isOver: boolean;
}

const unbegun: Life = {
    progress: { delivered: 0, outputTokens: 0, cachedTokens: 0, origin: undefined },
    outcome: "notRun",
    attempts: [],
    excluded: new Set(),
    target: undefined,
    refusal: undefined,
    reason: undefined,
    isOver: false,
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

function endLife(life: Life, refusal: Refusal): Life {
    return { ...life, refusal, isOver: true };
}

function deny(life: Life, denial: RetryDenial, dependencies: ModelRequestDependencies): Life {
    dependencies.countDenial(denial);
    return { ...life, isOver: true };
}

function mayResume(life: Life): boolean {
    return life.target !== undefined && life.target.resumes < maxResumes && life.reason !== undefined
        && resumableReasons.has(life.reason);
}

/** Chooses the same engine when it may still hold the stream, else another one. */
function chooseTarget(life: Life, route: RouteRequest, dependencies: ModelRequestDependencies): Life {
    const { target } = life;
    if (target !== undefined && mayResume(life)) {
        return { ...life, target: { ...target, resumes: target.resumes + 1 } };
    }
    const excluded = target === undefined ? life.excluded : new Set([...life.excluded, target.upstream.id]);
    const decision = dependencies.chooseUpstream({ ...route, excluded });
    if (decision.isErr) {
        return life.refusal === undefined ? endLife(life, decision.error) : deny(life, "noUpstream", dependencies);
    }
    return { ...life, excluded, target: { ...decision.value, resumes: 0 } };
}

/** An attempt that repeats work from the start draws on the budget; one that goes on with a begun answer does not. */
function mayRepeat(life: Life, dependencies: ModelRequestDependencies): boolean {
    return life.outcome !== "notRun" || dependencies.retryBudget.take();
}

function* prepareRetry(req: ModelRequest, life: Life, dependencies: ModelRequestDependencies): Steps<Life> {
    if (life.attempts.length >= maxAttempts) {
        return deny(life, "attempts", dependencies);
    }
    if (!mayRepeat(life, dependencies)) {
        return deny(life, "budget", dependencies);
    }
    const delayMs = computeRetryDelay(life.attempts.length - 1, dependencies.random);
    if (dependencies.now() + delayMs >= req.deadlineMs) {
        return deny(life, "deadline", dependencies);
    }
    const waited = yield* perform({ kind: "wait", delayMs, outlivesCaller: false });
    return waited === "callerGone" ? endLife(life, createRefusal("cancelled", "")) : life;
}

function takeEnd(life: Life, target: Target, end: AttemptEnd): Life {
    const { upstream, cachedBlocks, candidates } = target;
    const result = end.kind === "done" ? "complete" : end.reason ?? "failed";
    const hasProgress = end.progress.delivered > life.progress.delivered;
    return {
        ...life,
        target: hasProgress ? { ...target, resumes: 0 } : target,
        progress: end.progress,
        outcome: combineOutcomes(life.outcome, end.outcome),
        attempts: [...life.attempts, { upstream: upstream.id, cachedBlocks, candidates, result }],
        refusal: end.refusal,
        reason: end.reason,
        isOver: end.kind !== "retry",
    };
}

function* attemptOnce(
    req: ModelRequest,
    route: RouteRequest,
    identity: StreamIdentity,
    life: Life,
    dependencies: ModelRequestDependencies,
): Steps<Life> {
    const chosen = chooseTarget(life, route, dependencies);
    const { target } = chosen;
    if (chosen.isOver || target === undefined) {
        return chosen;
    }
    if (life.reason !== undefined) {
        dependencies.countRetry(life.reason);
    }
    const call = createModelCall(req, {
        upstream: target.upstream,
        scope: route.scope,
        identity,
        attempt: life.attempts.length,
        delivered: life.progress.delivered,
        isFreshConnection: life.attempts.length > 0,
        nowMs: dependencies.now(),
        silenceTimeoutMs: dependencies.silenceTimeoutMs,
    });
    dependencies.trackInFlight(target.upstream.id, 1);
    const end = yield* runModelAttempt(req, call, route, life.progress, dependencies.reportFeedback);
    dependencies.trackInFlight(target.upstream.id, -1);
    return takeEnd(chosen, target, end);
}

function* runAttempts(
    req: ModelRequest,
    route: RouteRequest,
    identity: StreamIdentity,
    dependencies: ModelRequestDependencies,
): Steps<Life> {
    let life = unbegun;
    dependencies.retryBudget.earn();
    while (!life.isOver) {
        if (dependencies.now() >= req.deadlineMs) {
            const kind = life.outcome === "notRun" ? "deadlineBeforeSend" : "deadlineExceeded";
            return endLife(life, createRefusal(kind, ""));
        }
        life = yield* attemptOnce(req, route, identity, life, dependencies);
        if (!life.isOver) {
            life = yield* prepareRetry(req, life, dependencies);
        }
    }
    return life;
}

/** Cancels a generation that nobody reads; with a key, the caller's retry has some time to join it. */
function* cancelUnread(
    req: ModelRequest,
    identity: StreamIdentity,
    life: Life,
    dependencies: ModelRequestDependencies,
): Steps<void> {
    if (life.target === undefined || life.outcome === "notRun") {
        return;
    }
    yield* perform({
        kind: "cancel",
        upstream: life.target.upstream,
        streamId: identity.streamId,
        delayMs: req.idempotencyKey === undefined ? 0 : retryJoinMs,
        isWanted: () => !dependencies.readers.has(identity.streamId),
    });
}

function computeUsed(life: Life, cost: RequestCost): RequestCost {
    return {
        promptTokens: life.outcome === "notRun" ? 0 : cost.promptTokens,
        outputTokens: life.progress.outputTokens,
    };
}

function* finish(
    req: ModelRequest,
    identity: StreamIdentity,
    life: Life,
    cost: RequestCost,
    dependencies: ModelRequestDependencies,
): Steps<ModelRequestReport> {
    const refusal = life.refusal === undefined ? undefined : alignRefusal(life.refusal, life.outcome);
    if (refusal !== undefined) {
        yield* perform({ kind: "refuse", refusal });
        yield* cancelUnread(req, identity, life, dependencies);
    }
    yield* perform({ kind: "settle", requestId: req.requestId, used: computeUsed(life, cost) });
    return {
        upstream: life.target?.upstream.id,
        cachedTokens: life.progress.cachedTokens,
        promptTokens: cost.promptTokens,
        outputTokens: life.progress.outputTokens,
        attempts: life.attempts,
        refusal,
    };
}

/**
 * Serves a model request: admission, choice of the upstream, sending, forwarding, resuming and safe retries.
 *
 * @param req - The checked request.
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
    dependencies.readers.join(identity.streamId);
    const life = yield* runAttempts(req, route, identity, dependencies);
    dependencies.readers.leave(identity.streamId);
    return yield* finish(req, identity, life, cost, dependencies);
}
