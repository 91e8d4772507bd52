/**
 * @module
 * The life of a model request, from admission to the last byte of the answer.
 */
import { type CacheScope, formatCacheSalt, hashBlocks } from "../cache/hashBlocks.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";
import { blockTokens, charactersPerToken } from "../constants.js";
import type { AnswerHead, ForwardResult, Steps, UpstreamCall } from "../effects/effectTypes.js";
import { perform } from "../effects/perform.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { CandidateCost, ChooseUpstream, RouteFeedback, RouteRequest } from "../routing/routeTypes.js";
import { deriveStreamIdentity, type StreamIdentity } from "./deriveStreamIdentity.js";
import type { ModelRequest } from "./requestTypes.js";

/** What the life of a model request needs from the instance. */
export interface ModelRequestDependencies {
    readonly chooseUpstream: ChooseUpstream;
    /** Tells routing that a request was sent to or left an upstream. */
    readonly trackInFlight: (upstream: string, change: 1 | -1) => void;
    readonly reportFeedback: (feedback: RouteFeedback) => void;
    readonly countRetry: (reason: RetryReason) => void;
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
}

/** Why an attempt was followed by another one. */
export type RetryReason = "notSent" | "upstreamNotRun" | "lost" | "cut" | "silent" | "outOfOrder";

/** How one attempt ended. */
export type AttemptOutcome = "complete" | "failed" | RetryReason;

/** One attempt with the grounds of its routing decision, for `reedwardctl why`. */
export interface AttemptReport {
    readonly upstream: string;
    /** Leading blocks that were believed to be cached there. */
    readonly cachedBlocks: number;
    readonly candidates: readonly CandidateCost[];
    readonly result: AttemptOutcome;
}

/** How a model request ended, for logs, metrics and tests. */
export interface ModelRequestReport {
    readonly upstream: string | undefined;
    readonly cachedTokens: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly attempts: readonly AttemptReport[];
    /** Undefined when the answer was complete. */
    readonly refusal: Refusal | undefined;
}

const maxAttempts = 4;

/** Engine priorities by class of service; a lower number goes first. */
const enginePriority = { interactive: 0, standard: 1, batch: 2 } as const;

interface Attempt {
    readonly upstream: Upstream;
    readonly head: AnswerHead;
}

type AttemptResult =
    | { readonly kind: "done"; readonly outputTokens: number; }
    | { readonly kind: "retry"; readonly reason: RetryReason; readonly refusal: Refusal; }
    | { readonly kind: "failed"; readonly refusal: Refusal; };

function toAttemptOutcome(result: AttemptResult): AttemptOutcome {
    switch (result.kind) {
        case "done":
            return "complete";
        case "failed":
            return "failed";
        case "retry":
            return result.reason;
    }
}

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

function createCall(
    req: ModelRequest,
    route: RouteRequest,
    identity: StreamIdentity,
    upstream: Upstream,
    deliveredEvents: number,
    nowMs: number,
): UpstreamCall {
    const remainingMs = Math.max(1, Math.floor(req.deadlineMs - nowMs));
    return {
        upstream,
        method: "POST",
        path: req.path,
        headers: {
            "content-type": "application/json",
            "x-correlation-id": req.requestId,
            "x-stream-id": identity.streamId,
            "x-stream-offset": String(deliveredEvents),
            "x-seed": String(identity.seed),
            "x-priority": String(enginePriority[req.customer.classOfService]),
            "x-cache-salt": formatCacheSalt(route.scope),
            "x-weights-version": req.model.weightsVersion,
            "x-deadline-ms": String(remainingMs),
        },
        body: JSON.stringify({ ...req.body, seed: identity.seed }),
        correlationId: req.requestId,
        timeoutMs: remainingMs,
    };
}

function judgeHead(head: AnswerHead): AttemptResult | undefined {
    if (head.isNotRun) {
        const refusal = createRefusal("upstreamNotReached", "the upstream did not run it", {
            ...(head.retryAfterMs === undefined ? {} : { retryAfterMs: head.retryAfterMs }),
        });
        return { kind: "retry", reason: "upstreamNotRun", refusal };
    }
    if (head.status >= 500) {
        return { kind: "retry", reason: "lost", refusal: createRefusal("outcomeUnknown", `status ${head.status}`) };
    }
    if (head.status >= 400) {
        return { kind: "failed", refusal: createRefusal("upstreamRejected", `status ${head.status}`) };
    }
    return undefined;
}

function judgeForward(result: ForwardResult): AttemptResult {
    switch (result.end) {
        case "complete":
            return { kind: "done", outputTokens: result.outputTokens };
        case "callerGone":
            return { kind: "failed", refusal: createRefusal("cancelled", "") };
        case "deadline":
            return { kind: "failed", refusal: createRefusal("deadlineExceeded", "") };
        case "cut":
        case "silent":
        case "outOfOrder":
            return {
                kind: "retry",
                reason: result.end,
                refusal: createRefusal("streamInterrupted", `after ${result.delivered} events`),
            };
    }
}

function* takeAnswer(
    req: ModelRequest,
    attempt: Attempt,
    onProgress: (delivered: number) => void,
): Steps<AttemptResult> {
    if (req.isStreaming) {
        const result = yield* perform({ kind: "forward", deadlineMs: req.deadlineMs });
        onProgress(result.delivered);
        return judgeForward(result);
    }
    const collected = yield* perform({ kind: "collect", deadlineMs: req.deadlineMs });
    if (collected.kind === "broken") {
        return judgeForward({ end: collected.end, delivered: 0, outputTokens: 0 });
    }
    const { status, contentType } = attempt.head;
    yield* perform({ kind: "answer", answer: { status, contentType, body: collected.body } });
    return { kind: "done", outputTokens: req.maxOutputTokens };
}

/**
 * Serves a model request: admission, choice of the upstream, sending, forwarding, and safe retries.
 *
 * @param req - The checked request.
 * @param dependencies - Routing and counters.
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
    const cost = { promptTokens: route.promptTokens, outputTokens: req.maxOutputTokens };
    const verdict = yield* perform({
        kind: "admit",
        req: { requestId: req.requestId, customer: req.customer, cost, deadlineMs: req.deadlineMs },
    });
    const report = {
        upstream: undefined as string | undefined,
        cachedTokens: 0,
        promptTokens: route.promptTokens,
        outputTokens: 0,
        attempts: [] as AttemptReport[],
    };
    if (verdict.kind === "refused") {
        yield* perform({ kind: "refuse", refusal: verdict.refusal });
        return { ...report, refusal: verdict.refusal };
    }

    const excluded = new Set<string>();
    let delivered = 0;
    let refusal = createRefusal("noUpstream", "");
    while (report.attempts.length < maxAttempts && dependencies.now() < req.deadlineMs) {
        const decision = dependencies.chooseUpstream({ ...route, excluded });
        if (decision.isErr) {
            refusal = report.attempts.length === 0 ? decision.error : refusal;
            break;
        }
        const { upstream, cachedBlocks, candidates } = decision.value;
        report.upstream = upstream.id;
        excluded.add(upstream.id);
        dependencies.trackInFlight(upstream.id, 1);
        const call = createCall(req, route, identity, upstream, delivered, dependencies.now());
        const result = yield* attemptOnce(req, call, route, dependencies, report, value => {
            delivered = value;
        });
        dependencies.trackInFlight(upstream.id, -1);
        const outcome = toAttemptOutcome(result);
        report.attempts.push({ upstream: upstream.id, cachedBlocks, candidates, result: outcome });
        if (result.kind === "done") {
            report.outputTokens = result.outputTokens;
            yield* perform({
                kind: "settle",
                requestId: req.requestId,
                used: { ...cost, outputTokens: result.outputTokens },
            });
            return { ...report, refusal: undefined };
        }
        refusal = result.refusal;
        if (result.kind === "failed") {
            break;
        }
        dependencies.countRetry(result.reason);
    }
    yield* perform({ kind: "settle", requestId: req.requestId, used: { promptTokens: 0, outputTokens: 0 } });
    yield* perform({ kind: "refuse", refusal });
    return { ...report, refusal };
}

function* attemptOnce(
    req: ModelRequest,
    call: UpstreamCall,
    route: RouteRequest,
    dependencies: ModelRequestDependencies,
    report: { cachedTokens: number; },
    onProgress: (delivered: number) => void,
): Steps<AttemptResult> {
    const sent = yield* perform({ kind: "send", call });
    if (sent.kind === "notSent") {
        return { kind: "retry", reason: "notSent", refusal: createRefusal("upstreamNotReached", sent.detail) };
    }
    if (sent.kind === "lost") {
        return { kind: "retry", reason: "lost", refusal: createRefusal("outcomeUnknown", sent.detail) };
    }
    const judged = judgeHead(sent.head);
    if (judged !== undefined) {
        return judged;
    }
    report.cachedTokens = sent.head.cachedTokens ?? 0;
    dependencies.reportFeedback({
        upstream: call.upstream.id,
        req: route,
        cachedBlocks: sent.head.cachedTokens === undefined
            ? undefined
            : Math.floor(sent.head.cachedTokens / blockTokens),
        incarnation: sent.head.incarnation,
    });
    return yield* takeAnswer(req, { upstream: call.upstream, head: sent.head }, onProgress);
}
