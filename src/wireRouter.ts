/**
 * @module
 * Constructs an instance of the router from an adapter's ports.
 */
import { assembleFeeds } from "./assemble/assembleFeeds.js";
import { assembleFleet, type Fleet } from "./assemble/assembleFleet.js";
import { assembleParts } from "./assemble/assembleParts.js";
import { assemblePermits } from "./assemble/assemblePermits.js";
import { assembleProxy } from "./assemble/assembleProxy.js";
import { assembleQuarantine } from "./assemble/assembleQuarantine.js";
import { assembleQuotas } from "./assemble/assembleQuotas.js";
import { assembleServers } from "./assemble/assembleServers.js";
import { assembleViews } from "./assemble/assembleViews.js";
import type { InstanceContext } from "./assemble/routerPorts.js";
import { watchStoreEra } from "./assemble/watchStoreEra.js";
import { memoizeFor } from "./core/_lib/memoizeFor.js";
import { millisecondsPerSecond } from "./core/constants.js";
import { listServing } from "./core/fleet/listServing.js";
import { createHeapWatch } from "./core/memory/createHeapWatch.js";
import { createShutdown } from "./core/shutdown/createShutdown.js";
import { planStoreReads } from "./core/store/planStoreReads.js";
import { createLagMeter } from "./core/time/createLagMeter.js";
import { createPauseDetector } from "./core/time/createPauseDetector.js";
import { computeOutdatedLimitMs } from "./core/weights/computeOutdatedLimitMs.js";
import { createRolloutLease } from "./core/weights/createRolloutLease.js";
import { readArrived } from "./io/_lib/readArrived.js";
import { createListenerGroup } from "./io/http/createListenerGroup.js";
import { readHeap } from "./io/process/readHeap.js";
import { runShutdown } from "./io/shutdown/runShutdown.js";
import { runRollout } from "./io/weights/runRollout.js";

export type { RouterPorts, RouterSettings } from "./assemble/routerPorts.js";

/** A running instance. */
export interface Router {
    /**
     * Leaves the fleet, serves the requests that still arrive, and stops when none is left or the grace period is
     * nearly over. Further calls return the first call's promise, which resolves to the time on the clock at which the process
     * has to exit, in milliseconds.
     */
    readonly drain: () => Promise<number>;
}

/** Clock jump beyond which the process is considered paused, in milliseconds. */
const pauseThresholdMs = 500;

/** Maximum age of the list of upstreams at which the store is considered reachable for a rollout, in milliseconds. */
const freshStoreMs = 1_500;

/** Lifetime of the plan of reads of the store, in milliseconds. */
const planLifetimeMs = 250;

/**
 * Starts an instance.
 *
 * @param context - Settings, ports, clock, random source and log.
 * @returns The running instance.
 */
export function wireRouter(context: InstanceContext): Router {
    const { settings, ports, clock, writeLog, metrics } = context;
    const lag = createLagMeter();
    const recordLag = (lateMs: number) => lag.record(lateMs, clock.now());
    const shutdown = createShutdown({
        graceMs: settings.graceMs,
        readLagMs: lag.longestMs,
        mayBeListed: () => hasHadState,
        hasServingPeer: () => listServing(joinedFleet?.listLive() ?? []).length > 0,
    });
    const listeners = createListenerGroup({
        clock,
        onFailed: (address, err) => writeLog("listenFailed", { address, detail: err.message }),
        onListening: () => {
            const { failureDomain, callerAddress } = settings;
            writeLog("started", { failureDomain, callerAddress });
        },
    });
    const views = assembleViews(context);
    /** Undefined until the fleet is joined: the feeds begin before. */
    let joinedFleet: Fleet | undefined = undefined;
    const plan = memoizeFor(planLifetimeMs, clock.now, () => {
        const self = { name: settings.instance, failureDomain: settings.failureDomain };
        const others = joinedFleet?.listLive().map(member => member.instance) ?? [];
        return planStoreReads(self, others, settings);
    });
    const feeds = assembleFeeds(context, views, {
        plan,
        operatorAgeMs: () => joinedFleet?.operatorAgeMs() ?? Infinity,
        upstreamsAgeMs: () => joinedFleet?.upstreamsAgeMs() ?? Infinity,
        checkPause: () => pauses.check(),
    });
    const lease = createRolloutLease({ instance: settings.instance, separationMs: settings.leaseSeparationMs });
    watchStoreEra(context, lease);
    let hasHadState = false;
    /** What was known once stays in use, however old it is, for example after a pause during an outage of the store. */
    function hasState(): boolean {
        hasHadState ||= views.routes() !== undefined && Number.isFinite(fleet.upstreamsAgeMs());
        return hasHadState;
    }

    function isReady(): boolean {
        return !shutdown.isLeaving() && listeners.areListening() && hasState();
    }

    const quarantine = assembleQuarantine(context, {
        listOthers: () => joinedFleet?.listLive().map(member => member.instance.name) ?? [],
        send: (names, message) => joinedFleet?.sendMessage(names, message),
        isReader: () => plan().isReader,
    });
    const permits = assemblePermits(context, views, {
        listLive: () => joinedFleet?.listLive() ?? [],
        isDirect: () => joinedFleet?.isDirect() ?? true,
        viewTimeoutMs: () => joinedFleet?.timeoutMs() ?? 0,
        send: (names, message) => joinedFleet?.sendMessage(names, message),
        isServing: () => joinedFleet?.self().state === "serving",
    });
    const quotas = assembleQuotas(context, views, {
        listLive: () => joinedFleet?.listLive() ?? [],
        countAddresses: () => joinedFleet?.countAddresses(),
        send: (names, message) => joinedFleet?.sendMessage(names, message),
        ownState: () => joinedFleet?.self().state,
        checkPause: () => pauses.check(),
    });
    const fleet: Fleet = assembleFleet(context, views, feeds, {
        state: () => {
            if (shutdown.isLeaving()) {
                return "leaving";
            }
            return isReady() ? "serving" : "starting";
        },
        listeners,
        listLoading: () => rollout.listLoading(),
        heldLease: () => lease.heldClaim(clock.now()),
        describeLeaseKnowledge: () => lease.describeKnowledge(clock.now()),
        recordLeaseKnowledge: knowledge => lease.recordKnowledge(knowledge, clock.now()),
        describeLeaseRelease: () => lease.describeRelease(clock.now()),
        recordLeaseRelease: release => lease.recordRelease(release, clock.now()),
        recordLease: claim => lease.recordReportedClaim(claim, clock.now()),
        plan,
        checkPause: () => pauses.check(),
        quarantine: quarantine.guard,
        permits,
        quotas,
    });
    joinedFleet = fleet;

    const partFeeds = assembleParts(context, views, fleet);
    const proxy = assembleProxy(context, views, fleet, partFeeds, {
        quarantine,
        permits,
        chargeQuota: quotas.charge,
    }, shutdown);
    const heap = createHeapWatch(readHeap, use => {
        const { answerBytes, bodyBytes } = proxy.heldMemory();
        writeLog("heapNearlyFull", { ...use, answerBytes, bodyBytes, active: proxy.countActive() });
    });
    const pauses = createPauseDetector(clock, pausedMs => {
        writeLog("processPaused", { pausedMs: Math.round(pausedMs) });
        feeds.forgetAges();
        fleet.forgetAges();
        rollout.relinquishLease();
        proxy.discardIdleConnections();
        quarantine.clear();
        permits.clear();
        quotas.clear();
    }, {
        thresholdMs: pauseThresholdMs,
        onChecked: lateMs => {
            recordLag(lateMs);
            heap.check();
        },
    });

    const rollout = runRollout({
        clock,
        instance: settings.instance,
        store: ports.store,
        leaseTopic: ports.topics.lease,
        lease,
        registry: views.registry,
        weights: views.weights,
        use: views.use,
        engines: ports.engines,
        listLive: fleet.listLive,
        isLeaving: shutdown.isLeaving,
        dutyTimeMs: () => shutdown.dutyTimeMs(clock.now()),
        outdatedLimitMs: computeOutdatedLimitMs(settings.weightsLimitMs),
        allLoadedLimitMs: settings.allWeightsLimitMs,
        isListening: listeners.areListening,
        checkPause: () => pauses.check(),
        isStoreFresh: () => fleet.upstreamsAgeMs() < Math.max(freshStoreMs, plan().maxAgeMs),
        notifyPeers: fleet.reportLoading,
        onChange: views.notifyChange,
        writeLog,
        onOrder: answer => metrics.orders.inc({ answer }),
        onClaim: result => metrics.leaseClaims.inc({ result }),
    });
    metrics.connectGauges({
        waiting: proxy.countWaiting,
        waitingByPriority: proxy.countByPriority,
        reservedRequests: proxy.reservedRequests,
        active: proxy.countActive,
        liveInstances: () => fleet.listLive().length,
        upstreams: () => views.registry.list().length,
        tableVersion: () => views.routes()?.table.version ?? 0,
        storeEra: ports.storeEra.current,
        upstreamsAgeSeconds: () => fleet.upstreamsAgeMs() / millisecondsPerSecond,
        operatorAgeSeconds: () => fleet.operatorAgeMs() / millisecondsPerSecond,
        isStoreReader: () => plan().isReader,
        quarantinedParts: () => quarantine.guard.list().filter(entry => entry.state !== "lifted").length,
        quotaPools: quotas.countOwnedPools,
        quotaWaiting: quotas.countWaiting,
        limitedUpstreams: () => views.signals.view.countLimited(clock.now()),
        loadViewAgeSeconds: () => views.describeLoads().ageMs / millisecondsPerSecond,
        loadViewSpread: () => views.describeLoads().spread,
        connectionsOpened: proxy.countOpened,
        heldAnswerBytes: () => proxy.heldMemory().answerBytes,
        heldBodyBytes: () => proxy.heldMemory().bodyBytes,
        heapUse: readHeap,
        logLinesDropped: context.listDropped,
    });

    const servers = assembleServers(context, {
        fleet,
        routes: views.routes,
        listeners,
        isReady,
        handle: proxy.handle,
        preview: proxy.preview,
        recordRead: proxy.recordRead,
        quarantine: quarantine.guard,
        listSignals: permits.listSignals,
    });
    views.onChange(partFeeds.refresh);
    views.onChange(servers.applyLimits);
    views.onChange(proxy.dispatch);
    views.onChange(() => rollout.wake());
    pauses.start();

    /** How far the stop has come, and what is open. */
    function describeStop(): Readonly<Record<string, unknown>> {
        const connections = servers.countConnections();
        return { ...shutdown.progress(clock.now()), active: proxy.countActive(), connections };
    }

    async function drain(): Promise<number> {
        shutdown.begin(clock.now());
        writeLog("leaving", describeStop());
        fleet.sendNow();
        await runShutdown({
            clock,
            shutdown,
            recordLag,
            readArrived: arrival => readArrived(servers.countAccepted, arrival),
            readLoad: () => ({
                requests: proxy.countActive(),
                connections: servers.countConnections(),
                hasDuties: rollout.isOrdering(),
            }),
            refuseLate: proxy.refuseLate,
            stopRequests: () => {
                writeLog("stopAdvanced", describeStop());
                proxy.stopRequests();
            },
            holdConnections: servers.holdConnections,
            stopListening: () => {
                servers.stopListening();
                writeLog("stopAdvanced", { ...describeStop(), isListening: false });
            },
            closeCallers: () => {
                writeLog("stopAdvanced", describeStop());
                // Peers hear of the end of its orders while heartbeats are still sent.
                rollout.stop();
                servers.closeCallers();
            },
        });
        const lastState = describeStop();
        servers.close();
        feeds.stop();
        quarantine.stop();
        quotas.stop();
        partFeeds.stop();
        rollout.stop();
        fleet.stop();
        pauses.stop();
        proxy.close();
        writeLog("stopped", lastState);
        return shutdown.ends(clock.now()).exitDueMs;
    }
    let drained: Promise<number> | undefined;
    return {
        drain: () => {
            drained ??= drain();
            return drained;
        },
    };
}
