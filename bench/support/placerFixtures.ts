/**
 * @module
 * A placer with its views on a virtual clock, for scenarios of placement.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { Prefill } from "../../src/core/fleet/prefillReport.js";
import type { HomesChange } from "../../src/core/homes/createPromptHomes.js";
import { createUpstreamLoads, type UpstreamLoads } from "../../src/core/load/createUpstreamLoads.js";
import type { UpstreamRateLimits } from "../../src/core/permits/createUpstreamPermits.js";
import { createHealthView, type HealthView } from "../../src/core/placement/createHealthView.js";
import { createPartView, type PartView } from "../../src/core/placement/createPartView.js";
import { createPlacer, type Placer } from "../../src/core/placement/createPlacer.js";
import type { ReachableStore } from "../../src/core/placement/createPromptCacheReader.js";
import {
    createUpstreamUseTracker,
    type UpstreamUseTracker,
} from "../../src/core/placement/createUpstreamUseTracker.js";
import { createUpstreamRegistry, type UpstreamRegistry } from "../../src/core/registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../../src/core/registry/upstreamRecord.js";
import { indexRoutes } from "../../src/core/routes/indexRoutes.js";
import type { SignalView } from "../../src/core/signals/createSignalView.js";
import { createWeightsView, type WeightsView } from "../../src/core/weights/createWeightsView.js";
import { noRateLimits } from "./noRateLimits.js";
import { createRecord, createTable } from "./proxyFixtures.js";

/** A placer and the views on which it decides. */
export interface PlacerFixture {
    readonly clock: VirtualClock;
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly health: HealthView;
    readonly parts: PartView;
    readonly use: UpstreamUseTracker;
    readonly loads: UpstreamLoads;
    readonly placer: Placer;
    /** Prefills that the placer reported to its peers. */
    readonly prefills: readonly Prefill[];
}

/** What the placer knows beside upstreams. */
export interface PlacerFixtureOptions {
    /** Instances that share the callers' requests. */
    readonly countInstances?: () => number;
    readonly listStores?: () => readonly ReachableStore[];
    readonly onHomesChanged?: (change: HomesChange) => void;
}

/** Memory of an engine, in tokens. */
export const engineMemoryTokens = 20_000;

/** Salt of parts that are cached under the first version of the weights. */
export const firstSalt = "easy-read/1/shared";

/** Creates the record of an engine, whose id ends in a number. */
export function createEngineRecord(id: string, changes: Parameters<typeof createRecord>[0] = {}): UpstreamRecord {
    return createRecord({ id, address: `10.0.0.${id.slice(2)}:80`, ...changes });
}

/** Creates a placer for idle engines. */
export function createPlacerFixture(
    clock: VirtualClock,
    engines: readonly string[],
    isFleetDirect = true,
    limits: UpstreamRateLimits = noRateLimits,
    signals: Pick<SignalView, "findClosure"> = { findClosure: () => undefined },
    { countInstances = () => isFleetDirect ? 1 : 91, listStores = () => [], onHomesChanged }: PlacerFixtureOptions = {},
): PlacerFixture {
    const health = createHealthView();
    const registry = createUpstreamRegistry(event => {
        if (event.kind === "restarted" || event.kind === "removed") {
            health.remove(event.record.id);
        }
    });
    const weights = createWeightsView();
    const parts = createPartView();
    const use = createUpstreamUseTracker();
    const loads = createUpstreamLoads(registry.find);
    const prefills: Prefill[] = [];
    const placer = createPlacer({
        clock,
        rateLimits: limits,
        signals,
        countInstances,
        onPrefill: prefill => prefills.push(prefill),
        failureDomain: "north",
        registry,
        weights,
        use,
        loads,
        random: clock.random,
        parts,
        health,
        findService: indexRoutes(createTable()).findService,
        findOutdatedLimitMs: () => 6_400,
        isFleetDirect: () => isFleetDirect,
        listStores,
        onHomesChanged,
    });
    registry.applyList(engines.map(id => createEngineRecord(id)), 0);
    return { clock, registry, weights, health, parts, use, loads, placer, prefills };
}
