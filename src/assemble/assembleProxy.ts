/**
 * @module
 * Assembles the proxy: placement of requests, sends to upstreams, and answers to callers.
 */
import type { RequestListener } from "node:http";
import { millisecondsPerSecond } from "../core/constants.js";
import { createBlockPool } from "../core/memory/createBlockPool.js";
import { createGarbageMeter } from "../core/memory/createGarbageMeter.js";
import { createMemoryBudget } from "../core/memory/createMemoryBudget.js";
import { limitGarbage } from "../core/memory/limitGarbage.js";
import { planMemory } from "../core/memory/planMemory.js";
import { planSingleMemory } from "../core/memory/planSingleMemory.js";
import { sumTokens } from "../core/placement/_lib/countPromptTokens.js";
import { createPreviewer, type PreviewRequest } from "../core/placement/createPreviewer.js";
import { createAnswerMemory } from "../core/proxy/createAnswerMemory.js";
import { createFleetRetryBudget, type FleetRetryBudget } from "../core/proxy/createFleetRetryBudget.js";
import { createBeginTimes } from "../core/weights/createBeginTimes.js";
import { readArrived } from "../io/_lib/readArrived.js";
import { createConnectionPool } from "../io/proxy/createConnectionPool.js";
import {
    createProxyService,
    type ProxyService,
    type ProxyServiceDependencies,
} from "../io/proxy/createProxyService.js";
import type { ChargeQuota } from "../io/proxy/createRequestRunner.js";
import type { Fleet } from "./assembleFleet.js";
import type { PartFeeds } from "./assembleParts.js";
import type { InstancePermits } from "./assemblePermits.js";
import { assemblePlacer } from "./assemblePlacer.js";
import type { InstanceQuarantine } from "./assembleQuarantine.js";
import { assembleSender } from "./assembleSender.js";
import type { InstanceViews } from "./assembleViews.js";
import { recordEviction } from "./recordEviction.js";
import type { InstanceContext } from "./routerPorts.js";

/** The proxy. */
export interface Proxy extends Omit<ProxyService, "handle" | "reportUnfinished"> {
    readonly handle: RequestListener;
    /** Number of requests that wait for placement. */
    readonly countWaiting: () => number;
    /** Says what would happen to a described request now; changes nothing. */
    readonly preview: PreviewRequest;
    /** The same by priority. */
    readonly countByPriority: () => ReadonlyMap<number, number>;
    /** Largest reserve for more urgent requests at one upstream in the latest decision, in requests. */
    readonly reservedRequests: () => number;
    /** Number of connections opened to upstreams so far. */
    readonly countOpened: () => number;
    /** Memory that answers and the bodies of requests hold, in bytes. */
    readonly heldMemory: () => { readonly answerBytes: number; readonly bodyBytes: number; };
    /** Records the bytes of a read of callers' connections, whose memory is collected some time after it was parsed. */
    readonly recordRead: (bytes: number) => void;
    /** Places waiting requests. */
    readonly dispatch: () => void;
    /** Closes all idle connections to upstreams, for example after a pause of the process. */
    readonly discardIdleConnections: () => void;
    /** Reports unfinished requests, closes idle connections to upstreams and stops the periodic sweep. */
    readonly close: () => void;
}

/** What keeps requests from being sent now. */
export interface PlacementGuards {
    /** Says which prompts may not be sent, and observes sends. */
    readonly quarantine: InstanceQuarantine;
    /** Says which upstreams take no further request now. */
    readonly permits: Pick<InstancePermits, "rateLimits" | "onChange">;
    /** Charges requests to their customers' quotas; left out where quotas are not kept. */
    readonly chargeQuota?: ChargeQuota;
}

/**
 * Assembles the proxy.
 *
 * @param context - The instance.
 * @param views - The views on which requests are placed.
 * @param fleet - The other instances.
 * @param partFeeds - Provides the reachable prompt cache stores.
 * @param guards - Say what may not be sent now.
 * @param shutdown - The instance's stop.
 * @returns The proxy.
 */
export function assembleProxy(
    context: InstanceContext,
    views: InstanceViews,
    fleet: Fleet,
    partFeeds: PartFeeds,
    { quarantine, permits, chargeQuota }: PlacementGuards,
    shutdown: ProxyServiceDependencies["shutdown"],
): Proxy {
    const { settings, ports, clock, random, writeLog, metrics } = context;
    const connections = createConnectionPool(clock);
    const { sends } = quarantine;
    const beginTimes = createBeginTimes();
    const placer = assemblePlacer(context, views, fleet, partFeeds, { quarantine, permits, beginTimes });

    const limits = planMemory(settings.memoryBytes);
    const singleLimits = planSingleMemory(settings.memoryBytes);
    const garbage = createGarbageMeter(
        context.collectGarbage,
        context.collectYoungGarbage,
        limitGarbage(settings.memoryBytes),
    );
    const answerMemory = createAnswerMemory(limits.answerBytes, garbage.record, {
        onGrown: garbage.recordRead,
        maxSingleBytes: singleLimits.answerBytes,
        now: clock.now,
    });
    const bodyMemory = createMemoryBudget({
        maxBytes: limits.bodyBytes,
        maxSingleBytes: singleLimits.bodyBytes,
        onReleased: garbage.record,
        now: clock.now,
    });
    const { send, describeOutdated } = assembleSender(context, views, {
        placer,
        sends,
        beginTimes,
        connections,
        answerMemory,
        isLeaving: shutdown.isLeaving,
    });
    const baseBudget = createFleetRetryBudget({
        ratio: settings.retryRatio,
        slack: settings.retrySlack,
        windowMs: settings.retryWindowMs,
        countInstances: fleet.countInstances,
    });
    const retryBudget: FleetRetryBudget = {
        ...baseBudget,
        tryAcquire: (service, nowMs, priority) => {
            const isAllowed = baseBudget.tryAcquire(service, nowMs, priority);
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
        retryBudget,
        chargeQuota,
        routes: views.routes,
        describeOutdated,
        findRateLimit: upstream => views.signals.view.findRateLimit(upstream, clock.now()),
        shutdown,
        readArrived: () => readArrived(),
        bodyMemory,
        bodyBlocks: createBlockPool({
            maxFreeBytes: () => limits.bodyBytes - bodyMemory.usedBytes(),
            onDropped: garbage.record,
        }),
        answerMemory,
        onRetry: reason => metrics.retries.inc({ reason }),
        onEnd: end => {
            const { kind, result, isWritten, tookMs } = end;
            metrics.requests.inc({ kind: kind ?? "unknown", result, written: String(isWritten) });
            if (kind !== undefined) {
                metrics.requestSeconds.observe({ kind }, tookMs / millisecondsPerSecond);
                writeLog("requestServed", { ...end });
            }
        },
        onSendBegin: (req, { upstream, home, heldTokens, fetchedTokens }) => {
            sends.recordBegin(req, upstream);
            if (req.prompt !== undefined && home !== undefined) {
                const place = home.rank === undefined ? "other" : home.rank < home.homes ? "home" : "next";
                metrics.homePlacements.inc({ place });
                const sharedTokens = sumTokens(req.prompt, 0, -1);
                metrics.sharedPrefillTokens.inc({ place }, Math.max(0, sharedTokens - heldTokens - fetchedTokens));
            }
        },
        onSend: (req, outcome) => {
            metrics.sends.inc({ outcome: outcome.kind });
            sends.recordOutcome(req, outcome);
        },
        onPlaced: waitedMs => metrics.placementSeconds.observe(waitedMs / millisecondsPerSecond),
        onEvicted: (socket, reason) =>
            recordEviction(context, socket, reason, {
                answerBytes: answerMemory.totalBytes(),
                bodyBytes: bodyMemory.usedBytes(),
            }),
        onRefusal: kind => metrics.refusals.inc({ kind }),
    });
    return {
        ...service,
        countWaiting: placer.countWaiting,
        preview: createPreviewer({
            instance: settings.instance,
            now: clock.now,
            random,
            routes: views.routes,
            preview: placer.preview,
            listHeldParts: () => quarantine.guard.list().filter(one => one.state === "held").map(one => one.part),
            countWaiting: placer.countWaiting,
        }),
        countByPriority: placer.countByPriority,
        reservedRequests: placer.reservedRequests,
        countOpened: connections.countOpened,
        recordRead: garbage.recordRead,
        heldMemory: () => ({ answerBytes: answerMemory.totalBytes(), bodyBytes: bodyMemory.usedBytes() }),
        dispatch: placer.dispatch,
        discardIdleConnections: connections.discardIdle,
        close: () => {
            service.reportUnfinished();
            connections.close();
        },
    };
}
