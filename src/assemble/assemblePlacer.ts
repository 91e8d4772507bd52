/**
 * @module
 * Assembles the placement of requests: the placer, what keeps requests from being placed, and what it logs.
 */
import { createPlacer, type Placer } from "../core/placement/createPlacer.js";
import { isRetryable } from "../core/proxy/serveProxyRequest.js";
import { createGuardedPlacer } from "../core/quarantine/createGuardedPlacer.js";
import { computeOutdatedLimitMs } from "../core/weights/computeOutdatedLimitMs.js";
import type { BeginTimes } from "../core/weights/createBeginTimes.js";
import type { Fleet } from "./assembleFleet.js";
import type { PartFeeds } from "./assembleParts.js";
import type { InstancePermits } from "./assemblePermits.js";
import type { InstanceQuarantine } from "./assembleQuarantine.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** What placement takes into account beside views. */
export interface PlacerGuards {
    readonly quarantine: Pick<InstanceQuarantine, "guard" | "onChange">;
    readonly permits: Pick<InstancePermits, "rateLimits" | "onChange">;
    /** How long engines take to begin requests. */
    readonly beginTimes: Pick<BeginTimes, "estimateMs">;
}

/**
 * Assembles the placer; requests that wait are placed again when the quarantine, permits or loads change.
 *
 * @param context - The instance.
 * @param views - The views on which requests are placed.
 * @param fleet - The other instances.
 * @param partFeeds - Provides the reachable prompt cache stores.
 * @param guards - What else is taken into account.
 * @returns The placer.
 */
export function assemblePlacer(
    context: InstanceContext,
    views: InstanceViews,
    fleet: Fleet,
    partFeeds: PartFeeds,
    { quarantine, permits, beginTimes }: PlacerGuards,
): Placer {
    const { settings, clock, random, writeLog, metrics } = context;
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
    const placer = createGuardedPlacer(freePlacer, quarantine.guard, clock);
    quarantine.onChange(placer.recheckGuard);
    permits.onChange(placer.recheck);
    views.onLoads(placer.dispatch);
    return placer;
}
