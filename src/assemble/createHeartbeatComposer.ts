/**
 * @module
 * Composes the heartbeats of an instance from the state of its parts.
 */
import type { FleetView } from "../core/fleet/createFleetView.js";
import type { FleetInstance, Heartbeat } from "../core/fleet/heartbeat.js";
import { computeStoreReachMs } from "../core/homes/computeStoreReachMs.js";
import type { Clock } from "../core/time/clock.js";
import type { FleetSources } from "./assembleFleet.js";
import type { InstanceViews } from "./assembleViews.js";

/** Composes heartbeats. */
export interface HeartbeatComposer {
    /** Composes a heartbeat that tells nothing of other instances. */
    readonly composeOwn: () => Heartbeat;
    /** Composes the next heartbeat to all. */
    readonly compose: () => Heartbeat;
}

/** Dependencies of {@link createHeartbeatComposer}. */
export interface HeartbeatComposerDependencies {
    readonly clock: Clock;
    readonly view: FleetView;
    readonly views: InstanceViews;
    readonly sources: FleetSources;
    readonly self: () => FleetInstance;
    /** Milliseconds since the list of upstreams was read. */
    readonly upstreamsAgeMs: () => number;
}

/** Maximum age that is reported, in milliseconds: the age when the store was never read is infinite. */
const maxAgeMs = 3_600_000;

/**
 * Creates a composer.
 *
 * @param deps - The state that heartbeats report.
 * @returns The composer.
 */
export function createHeartbeatComposer(deps: HeartbeatComposerDependencies): HeartbeatComposer {
    const { clock, view, views, sources } = deps;

    function listLoaded(): Heartbeat["loaded"] {
        return views.weights.listTargets().flatMap(({ model, version }) =>
            views.registry.list()
                .filter(record => views.weights.findVersion(record, model) === version)
                .map(record => ({ engine: record.id, model, version }))
        );
    }

    function listStores(): Heartbeat["stores"] {
        const nowMs = clock.now();
        return views.storeReach.list(computeStoreReachMs(view.countInstances(nowMs)), nowMs);
    }

    function composeOwn(): Heartbeat {
        const lease = sources.heldLease();
        return {
            from: deps.self(),
            tableVersion: views.routes()?.table.version ?? 0,
            storeAgeMs: Math.min(maxAgeMs, Math.round(deps.upstreamsAgeMs())),
            named: views.describeTargets(),
            // A report that reaches a few of many peers is out of date before the next one arrives.
            uses: view.isDirect() ? views.use.listOwn() : [],
            loading: sources.listLoading(),
            loaded: sources.listLoading().length > 0 ? listLoaded() : [],
            leaseOffset: lease?.offset,
            leaseEra: lease?.era,
            leaseSeen: sources.describeLeaseKnowledge(),
            leaseReleased: sources.describeLeaseRelease(),
            quarantine: sources.quarantine.digest(),
            signals: sources.permits.digest(),
            // Small fleets read the events of the stores themselves.
            stores: view.isDirect() ? undefined : listStores(),
            known: [],
            ages: "",
        };
    }

    return {
        composeOwn,
        compose: () => {
            const nowMs = clock.now();
            const known = view.chooseKnown(nowMs);
            const heartbeat = { ...composeOwn(), known, ages: view.describeAges(nowMs) };
            const loadBytes = view.findLoadBytes(JSON.stringify(heartbeat).length);
            const loads = views.loadExchange.describe(loadBytes, nowMs);
            return loads === "" ? heartbeat : { ...heartbeat, loads };
        },
    };
}
