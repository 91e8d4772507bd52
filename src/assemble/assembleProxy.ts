/**
 * @module
 * Assembles the path of a request: placing, sending, and serving callers.
 */
import type { RequestListener } from "node:http";
import { millisecondsPerSecond } from "../core/constants.js";
import { createPlacer } from "../core/placement/createPlacer.js";
import { createRetryBudget, type RetryBudget } from "../core/proxy/createRetryBudget.js";
import type { SendEffect } from "../core/proxy/proxyEffects.js";
import type { ProxyRequest } from "../core/proxy/proxyTypes.js";
import type { UpstreamRecord } from "../core/registry/upstreamRecord.js";
import { createConnectionPool } from "../io/proxy/createConnectionPool.js";
import { createProxyService } from "../io/proxy/createProxyService.js";
import { createUpstreamSender } from "../io/proxy/createUpstreamSender.js";
import type { AnswerHead } from "../io/proxy/proxyCodec.js";
import type { Fleet } from "./assembleFleet.js";
import type { PartFeeds } from "./assembleParts.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** Time between two questions for the weights of one engine, in milliseconds. */
const askPauseMs = 400;

/** The path of requests. */
export interface Proxy {
    readonly handle: RequestListener;
    readonly countActive: () => number;
    /** Requests that wait for a place. */
    readonly countWaiting: () => number;
    /** Connections opened to upstreams. */
    readonly countOpened: () => number;
    /** Places requests that wait. */
    readonly advance: () => void;
    /** Uses no connection again that was opened before. */
    readonly distrustConnections: () => void;
    /** Closes idle connections to upstreams and looks after none any more. */
    readonly close: () => void;
}

/** Part of the time limit for outdated weights that is used: the instance learned of the newer ones later than they were named. */
const weightsLimitShare = 0.8;

/**
 * Assembles the path of requests.
 *
 * @param context - The instance.
 * @param views - What it believes.
 * @param fleet - The other instances.
 * @param partFeeds - Stores of kept cache.
 * @param isClosing - Whether answers close their connections.
 * @returns The path.
 */
export function assembleProxy(
    context: InstanceContext,
    views: InstanceViews,
    fleet: Fleet,
    partFeeds: PartFeeds,
    isClosing: () => boolean,
): Proxy {
    const { settings, ports, clock, random, writeLog, metrics } = context;
    const shelf = createConnectionPool(clock);
    /** Engines that were asked for their weights a short time ago. */
    const asked = new Set<string>();
    const placer = createPlacer({
        clock,
        failureDomain: settings.failureDomain,
        registry: views.registry,
        weights: views.weights,
        use: views.use,
        parts: views.parts,
        health: views.health,
        findService: name => views.routes()?.findService(name),
        outdatedLimitMs: settings.weightsLimitMs * weightsLimitShare,
        listStores: partFeeds.listStores,
    });

    /** Asks an engine that has other weights than believed which ones it has; one question at a time. */
    function learnWeights(engine: UpstreamRecord, model: string): void {
        if (asked.has(engine.id)) {
            return;
        }
        asked.add(engine.id);
        ports.engines.readState(engine, model).then(state => {
            if (state?.version !== undefined) {
                views.weights.recordLoaded(engine.id, model, state.version);
                views.noteChange();
            }
        }).catch((error: unknown) => writeLog("internalFailure", { detail: String(error) }))
            .finally(() => clock.after(askPauseMs, () => asked.delete(engine.id)));
    }

    function noteAnswerHead(req: ProxyRequest, effect: SendEffect, head: AnswerHead): void {
        if (!head.isNotRun) {
            placer.recordAnswerStart(req);
        }
        if (head.weightsVersion !== undefined && req.prompt !== undefined) {
            views.weights.recordLoaded(effect.placement.upstream.id, req.prompt.model, head.weightsVersion);
        }
        else if (head.rejection === "otherWeights" && req.prompt !== undefined) {
            learnWeights(effect.placement.upstream, req.prompt.model);
        }
    }

    const send = createUpstreamSender({
        clock,
        codec: ports.codec,
        connections: shelf,
        health: views.health,
        onAnswerHead: noteAnswerHead,
        onHeadTime: tookMs => metrics.headSeconds.observe(tookMs / millisecondsPerSecond),
        onForeignAnswer: (req, effect, answeredId) =>
            writeLog("foreignAnswer", { requestId: req.id, upstream: effect.placement.upstream.id, answeredId }),
    });
    const budget = createRetryBudget({
        ratio: settings.retryRatio,
        slack: settings.retrySlack,
        windowMs: settings.retryWindowMs,
        countInstances: fleet.countInstances,
    });
    const allowance: RetryBudget = {
        ...budget,
        tryAcquire: (service, nowMs) => {
            const isAllowed = budget.tryAcquire(service, nowMs);
            metrics.retryDenials.inc(isAllowed ? 0 : 1);
            return isAllowed;
        },
    };
    const service = createProxyService({
        clock,
        random,
        codec: ports.codec,
        writeLog,
        placer,
        send,
        retryBudget: allowance,
        routes: views.routes,
        isClosing,
        onRetry: reason => metrics.retries.inc({ reason }),
        onEnd: end => {
            metrics.requests.inc({ kind: end.kind, result: end.result });
            metrics.requestSeconds.observe({ kind: end.kind }, end.tookMs / millisecondsPerSecond);
            writeLog("requestServed", { ...end });
        },
        onSend: outcome => metrics.sends.inc({ outcome }),
        onPlaced: waitedMs => metrics.placementSeconds.observe(waitedMs / millisecondsPerSecond),
        onRefusal: kind => metrics.refusals.inc({ kind }),
    });
    return {
        handle: service.handle,
        countActive: service.countActive,
        countWaiting: placer.countWaiting,
        countOpened: shelf.countOpened,
        advance: placer.dispatch,
        distrustConnections: shelf.discardIdle,
        close: shelf.close,
    };
}
