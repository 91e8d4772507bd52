/**
 * @module
 * Constructs a router's instance from an adapter's ports.
 */
import { assembleFeeds } from "./assemble/assembleFeeds.js";
import { assembleFleet, type Fleet } from "./assemble/assembleFleet.js";
import { assembleParts } from "./assemble/assembleParts.js";
import { assembleProxy } from "./assemble/assembleProxy.js";
import { assembleServers } from "./assemble/assembleServers.js";
import { assembleViews } from "./assemble/assembleViews.js";
import type { InstanceContext } from "./assemble/routerPorts.js";
import { millisecondsPerSecond } from "./core/constants.js";
import { createPauseDetector } from "./core/time/createPauseDetector.js";
import { createRolloutLease } from "./core/weights/createRolloutLease.js";
import { runRollout } from "./io/weights/runRollout.js";

export type { RouterPorts, RouterSettings } from "./assemble/routerPorts.js";

/** A running instance. */
export interface Router {
    /**
     * Leaves the fleet, serves what still comes, and returns when nothing is left or the time is nearly over. Further calls
     * return the first one's promise.
     */
    readonly leave: () => Promise<void>;
}

/** Jump of a clock beyond which the process counts as paused, in milliseconds. */
const pauseThresholdMs = 500;

/** Age of the list of upstreams up to which the store counts as reachable for a rollout, in milliseconds. */
const freshStoreMs = 1_500;

/** Time for which an instance that leaves still takes requests: callers keep lists three times their life, in milliseconds. */
const leaveTailMs = 3_600;

/** Time before the end of the grace period at which the process ends in any case, in milliseconds. */
const graceMarginMs = 500;

const leaveLookMs = 100;

/**
 * Starts an instance.
 *
 * @param context - Settings, ports, clock, random source and log.
 * @returns The running instance.
 */
export function wireRouter(context: InstanceContext): Router {
    const { settings, ports, clock, writeLog, metrics } = context;
    let isLeaving = false;
    const views = assembleViews(context);
    const feeds = assembleFeeds(context, views);
    const lease = createRolloutLease({ instance: settings.instance, separationMs: settings.leaseSeparationMs });
    const isInformed = () => views.routes() !== undefined && Number.isFinite(fleet.upstreamsAgeMs());

    const fleet: Fleet = assembleFleet(context, views, feeds, {
        state: () => {
            if (isLeaving) {
                return "leaving";
            }
            return isInformed() ? "serving" : "starting";
        },
        listLoading: () => rollout.listLoading(),
        leaseOffset: () => lease.fence(clock.now()),
        noteLease: (instance, offset) => lease.recordClaim({ instance, offset }, clock.now()),
    });

    const partFeeds = assembleParts(context, views, fleet);
    const proxy = assembleProxy(context, views, fleet, partFeeds, () => isLeaving);
    const pauses = createPauseDetector(clock, pausedMs => {
        writeLog("processPaused", { pausedMs: Math.round(pausedMs) });
        rollout.relinquishLease();
        proxy.distrustConnections();
    }, { thresholdMs: pauseThresholdMs });

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
        isLeaving: () => isLeaving,
        checkPause: () => pauses.check(),
        isStoreFresh: () => feeds.upstreamsAgeMs() < freshStoreMs,
        notifyPeers: fleet.hurry,
        onChange: views.noteChange,
        writeLog,
        onOrder: answer => metrics.orders.inc({ answer }),
        onClaim: result => metrics.leaseClaims.inc({ result }),
    });
    metrics.connectGauges({
        waiting: proxy.countWaiting,
        active: proxy.countActive,
        liveInstances: () => fleet.listLive().length,
        upstreams: () => views.registry.list().length,
        tableVersion: () => views.routes()?.table.version ?? 0,
        upstreamsAgeSeconds: () => fleet.upstreamsAgeMs() / millisecondsPerSecond,
        operatorAgeSeconds: () => feeds.operatorAgeMs() / millisecondsPerSecond,
        connectionsOpened: proxy.countOpened,
        logLinesDropped: context.listLeftOut,
    });

    const servers = assembleServers(context, {
        fleet,
        routes: views.routes,
        isReady: () => !isLeaving && isInformed(),
        handle: proxy.handle,
    });
    views.onChange(partFeeds.refresh);
    views.onChange(servers.applyLimits);
    views.onChange(proxy.advance);
    views.onChange(() => rollout.wake());
    pauses.start();
    writeLog("started", { failureDomain: settings.failureDomain, callerAddress: settings.callerAddress });

    async function leave(): Promise<void> {
        const sinceMs = clock.now();
        isLeaving = true;
        writeLog("leaving", { active: proxy.countActive() });
        fleet.hurry();
        for (;;) {
            await new Promise<void>(resolve => clock.after(leaveLookMs, resolve));
            const passedMs = clock.now() - sinceMs;
            const isQuiet = proxy.countActive() === 0 && passedMs > leaveTailMs;
            if (isQuiet || passedMs > settings.graceMs - graceMarginMs) {
                break;
            }
        }
        servers.closeIdle();
        servers.close();
        feeds.stop();
        partFeeds.stop();
        rollout.stop();
        fleet.stop();
        pauses.stop();
        proxy.close();
        writeLog("stopped", { active: proxy.countActive() });
    }
    let left: Promise<void> | undefined;
    return {
        leave: () => {
            left ??= leave();
            return left;
        },
    };
}
