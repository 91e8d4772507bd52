/**
 * @module
 * Assembles the path of a request: placing, sending, and serving callers.
 */
import type { RequestListener } from "node:http";
import { millisecondsPerSecond } from "../core/constants.js";
import { createPlacer } from "../core/placement/createPlacer.js";
import { createRetryAllowance, type RetryAllowance } from "../core/proxy/createRetryAllowance.js";
import type { SendEffect } from "../core/proxy/proxyEffects.js";
import type { ProxyRequest } from "../core/proxy/proxyTypes.js";
import { createConnectionShelf } from "../io/proxy/createConnectionShelf.js";
import { createProxyService } from "../io/proxy/createProxyService.js";
import { createUpstreamSender } from "../io/proxy/createUpstreamSender.js";
import type { AnswerHead } from "../io/proxy/proxyCodec.js";
import type { Fleet } from "./assembleFleet.js";
import type { PartFeeds } from "./assembleParts.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

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
    const shelf = createConnectionShelf(clock);
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

    function noteAnswerHead(req: ProxyRequest, effect: SendEffect, head: AnswerHead): void {
        if (!head.isNotRun) {
            placer.noteAnswer(req);
        }
        if (head.weightsVersion !== undefined && req.prompt !== undefined) {
            views.weights.noteLoaded(effect.placement.upstream.id, req.prompt.model, head.weightsVersion);
        }
    }

    const send = createUpstreamSender({
        clock,
        codec: ports.codec,
        shelf,
        health: views.health,
        onAnswerHead: noteAnswerHead,
        onHeadTime: tookMs => metrics.headSeconds.observe(tookMs / millisecondsPerSecond),
        onForeignAnswer: (req, effect, answeredId) =>
            writeLog("foreignAnswer", { requestId: req.id, upstream: effect.placement.upstream.id, answeredId }),
    });
    const budget = createRetryAllowance({
        ratio: settings.retryRatio,
        slack: settings.retrySlack,
        windowMs: settings.retryWindowMs,
        countInstances: fleet.countInstances,
    });
    const allowance: RetryAllowance = {
        ...budget,
        take: (service, nowMs) => {
            const isAllowed = budget.take(service, nowMs);
            metrics.repeatDenials.inc(isAllowed ? 0 : 1);
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
        allowance,
        routes: views.routes,
        isClosing,
        onRepeat: reason => metrics.repeats.inc({ reason }),
        onEnd: end => {
            metrics.requests.inc({ kind: end.kind, result: end.result });
            metrics.requestSeconds.observe({ kind: end.kind }, end.tookMs / millisecondsPerSecond);
            writeLog("requestServed", { ...end });
        },
        onSend: outcome => metrics.sends.inc({ outcome }),
        onPlaced: waitedMs => metrics.placeSeconds.observe(waitedMs / millisecondsPerSecond),
        onRefusal: kind => metrics.refusals.inc({ kind }),
    });
    return {
        handle: service.handle,
        countActive: service.countActive,
        countWaiting: placer.countWaiting,
        countOpened: shelf.countOpened,
        advance: placer.advance,
        distrustConnections: shelf.distrustAll,
    };
}
