/**
 * @module
 * Assembles the proxy: placement of requests, sends to upstreams, and answers to callers.
 */
import type { RequestListener } from "node:http";
import { millisecondsPerSecond } from "../core/constants.js";
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import { createGarbageMeter } from "../core/memory/createGarbageMeter.js";
import { createMemoryBudget } from "../core/memory/createMemoryBudget.js";
import { planMemory } from "../core/memory/planMemory.js";
import { sumTokens } from "../core/placement/_lib/countPromptTokens.js";
import { createPlacer } from "../core/placement/createPlacer.js";
import type { AnswerEnd } from "../core/proxy/answerEnd.js";
import { createAnswerMemory } from "../core/proxy/createAnswerMemory.js";
import { createFleetRetryBudget, type FleetRetryBudget } from "../core/proxy/createFleetRetryBudget.js";
import type { SendEffect } from "../core/proxy/proxyEffects.js";
import type { Placement, ProxyRequest } from "../core/proxy/proxyTypes.js";
import { isRetryable } from "../core/proxy/serveProxyRequest.js";
import { createGuardedPlacer } from "../core/quarantine/createGuardedPlacer.js";
import type { UpstreamRecord } from "../core/registry/upstreamRecord.js";
import { computeBeginLimitMs } from "../core/weights/computeBeginLimitMs.js";
import { computeOutdatedLimitMs } from "../core/weights/computeOutdatedLimitMs.js";
import { createBeginTimes } from "../core/weights/createBeginTimes.js";
import { createUnbegunSends } from "../core/weights/createUnbegunSends.js";
import { findSentWeights } from "../core/weights/findSentWeights.js";
import { readArrived } from "../io/_lib/readArrived.js";
import { createConnectionPool } from "../io/proxy/createConnectionPool.js";
import {
    createProxyService,
    type ProxyService,
    type ProxyServiceDependencies,
} from "../io/proxy/createProxyService.js";
import type { ChargeQuota, OutdatedWeights } from "../io/proxy/createRequestRunner.js";
import { createUpstreamSender } from "../io/proxy/createUpstreamSender.js";
import type { AnswerHead } from "../io/proxy/proxyCodec.js";
import type { Fleet } from "./assembleFleet.js";
import type { PartFeeds } from "./assembleParts.js";
import type { InstancePermits } from "./assemblePermits.js";
import type { InstanceQuarantine } from "./assembleQuarantine.js";
import type { InstanceViews } from "./assembleViews.js";
import { recordEviction } from "./recordEviction.js";
import type { InstanceContext } from "./routerPorts.js";

/** Minimum interval between two reads of the weights of one engine, in milliseconds. */
const weightsReadIntervalMs = 400;

/** Lowest status of an upstream's failure. */
const serverErrorStatus = 500;

/** The proxy. */
export interface Proxy extends Omit<ProxyService, "handle" | "reportUnfinished"> {
    readonly handle: RequestListener;
    /** Number of requests that wait for placement. */
    readonly countWaiting: () => number;
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
    /** Engines whose weights were read within the interval. */
    const recentlyRead = new Set<string>();
    const { guard, sends } = quarantine;
    const beginTimes = createBeginTimes();
    const freePlacer = createPlacer({
        clock,
        onPrefill: fleet.reportPrefill,
        rateLimits: permits.rateLimits,
        countInstances: fleet.countInstances,
        onWithheld: (req, withheld) => {
            metrics.withheldPlacements.inc();
            writeLog("placementWithheld", { requestId: req.id, ...withheld });
        },
        onGuaranteedTurn: ({ waiting, ...turn }) => {
            metrics.guaranteedTurns.inc();
            writeLog("guaranteedTurn", { ...turn, waiting: Object.fromEntries(waiting) });
        },
        signals: views.signals.view,
        isFleetDirect: fleet.isDirect,
        onHomesChanged: change => writeLog("promptHomesChanged", { ...change }),
        failureDomain: settings.failureDomain,
        registry: views.registry,
        weights: views.weights,
        use: views.use,
        loads: views.loads,
        random,
        parts: views.parts,
        health: views.health,
        findService: name => views.routes()?.findService(name),
        findOutdatedLimitMs: (req, model, hasStarted) => {
            // A stream that has started is cut when its send is withdrawn and it may not be placed again.
            const mayBeWithdrawn = isRetryable(req) && !hasStarted;
            return computeOutdatedLimitMs(settings.weightsLimitMs, mayBeWithdrawn ? 0 : beginTimes.estimateMs(model));
        },
        listStores: partFeeds.listStores,
    });
    const placer = createGuardedPlacer(freePlacer, guard, clock);
    quarantine.onChange(placer.recheckGuard);
    permits.onChange(placer.recheck);
    views.onLoads(placer.dispatch);

    /** Reads the weights of an engine that rejected a request because of its version; one read per engine at a time. */
    function refreshWeights(engine: UpstreamRecord, model: string): void {
        if (recentlyRead.has(engine.id)) {
            return;
        }
        recentlyRead.add(engine.id);
        ports.engines.readState(engine, model).then(state => {
            if (state?.version !== undefined) {
                views.weights.recordLoaded(engine.id, model, state.version);
                views.notifyChange();
            }
        }).catch((error: unknown) => logInternalFailure(writeLog, error))
            .finally(() => clock.after(weightsReadIntervalMs, () => recentlyRead.delete(engine.id)));
    }

    /** An answer of another process states another load, and one that failed says nothing about the pace. */
    function recordLoad(req: ProxyRequest, { upstream }: Placement, head: AnswerHead, sentMs: number): void {
        const { load, rejection, status } = head;
        if (load !== undefined && rejection !== "replaced") {
            views.loads.recordAnswer(upstream.id, load, {
                sentMs,
                receivedMs: clock.now(),
                isTimed: req.prompt === undefined && rejection === undefined && status < serverErrorStatus,
                isRejected: rejection === "busy",
            });
        }
    }

    function recordAnswerHead(req: ProxyRequest, effect: SendEffect, head: AnswerHead, sentMs: number): void {
        views.signals.recordAnswer(effect.placement.upstream, head, sentMs);
        recordLoad(req, effect.placement, head, sentMs);
        if (!head.isNotRun) {
            placer.recordAnswerStart(req, effect.placement);
        }
        if (head.weightsVersion !== undefined && req.prompt !== undefined) {
            views.weights.recordLoaded(effect.placement.upstream.id, req.prompt.model, head.weightsVersion);
        }
        else if (head.rejection === "otherWeights" && req.prompt !== undefined) {
            refreshWeights(effect.placement.upstream, req.prompt.model);
        }
    }

    function recordAnswerEnd(
        req: ProxyRequest,
        effect: SendEffect,
        end: AnswerEnd,
        incompleteReason: string | undefined,
    ): void {
        const { framing, connection, eventStream } = end;
        const isComplete = incompleteReason === undefined;
        metrics.answerEnds.inc({ framing, connection, complete: String(isComplete) });
        const unfinishedBytes = eventStream?.unfinishedBytes ?? 0;
        if (isComplete && connection === "open" && unfinishedBytes === 0) {
            return;
        }
        writeLog("answerEndJudged", {
            requestId: req.id,
            upstream: effect.placement.upstream.id,
            framing,
            connection,
            lastEventId: eventStream?.lastEventId,
            unfinishedBytes,
            isComplete,
            reason: incompleteReason,
        });
    }

    const limits = planMemory(settings.memoryBytes);
    const garbage = createGarbageMeter(context.collectGarbage, context.collectYoungGarbage);
    const answerMemory = createAnswerMemory(limits.answerBytes, garbage.record, {
        onGrown: garbage.recordRead,
        now: clock.now,
    });
    const bodyMemory = createMemoryBudget({
        maxBytes: limits.bodyBytes,
        onReleased: garbage.record,
        now: clock.now,
    });
    const beginLimitMs = computeBeginLimitMs(settings.weightsLimitMs);
    const unbegun = createUnbegunSends({
        clock,
        findDueMs: ({ model, version }) => {
            const sinceMs = views.weights.outdatedSinceMs(model, version);
            // While it leaves, an instance owes its callers their answers before the limit of weights.
            return sinceMs === undefined || shutdown.isLeaving() ? undefined : sinceMs + beginLimitMs;
        },
        readArrived: () => readArrived(),
    });
    views.onTargets(unbegun.recheck);

    /** Describes for how long weights have been outdated; undefined while they are the newest. */
    function describeOutdated(req: ProxyRequest, placement: Placement): Partial<OutdatedWeights> {
        const sent = findSentWeights(req, placement);
        const outdated = sent === undefined ? undefined : views.weights.findOutdated(sent.model, sent.version);
        return outdated === undefined
            ? {}
            : { outdatedMs: Math.round(clock.now() - outdated.sinceMs), isAgeObserved: outdated.isObserved };
    }

    const send = createUpstreamSender({
        clock,
        unbegun,
        onRunBegin: ({ prompt }, tookMs) => {
            if (prompt !== undefined) {
                beginTimes.record(prompt.model, tookMs);
            }
        },
        onWithdrawn: (req, { placement }, { waitedMs, hasHead }) => {
            metrics.withdrawnSends.inc();
            writeLog("sendWithdrawn", {
                requestId: req.id,
                upstream: placement.upstream.id,
                weightsVersion: placement.weightsVersion,
                ...describeOutdated(req, placement),
                waitedMs: Math.round(waitedMs),
                hasHead,
            });
        },
        answerMemory,
        codec: ports.codec,
        connections,
        health: views.health,
        onAnswerHead: recordAnswerHead,
        onHeadTime: tookMs => metrics.headSeconds.observe(tookMs / millisecondsPerSecond),
        onAnswerEnd: recordAnswerEnd,
        onEvent: sends.recordEvent,
        onConnectionEnd: (req, { placement }) => sends.recordConnectionEnd(req, placement.upstream),
        onForeignAnswer: (req, effect, { requestId: answeredId, status, isNotRun }) => {
            const upstream = effect.placement.upstream.id;
            writeLog("foreignAnswer", { requestId: req.id, upstream, answeredId, status, isNotRun });
        },
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
