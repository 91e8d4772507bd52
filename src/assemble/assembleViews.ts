/**
 * @module
 * Assembles what an instance believes: configuration, upstreams, weights, health and use.
 */
import { createHealthView, type HealthView } from "../core/placement/createHealthView.js";
import { createPartView, type PartView } from "../core/placement/createPartView.js";
import { createUpstreamUseTracker, type UpstreamUseTracker } from "../core/placement/createUpstreamUseTracker.js";
import {
    createUpstreamRegistry,
    type RegistryEvent,
    type UpstreamRegistry,
} from "../core/registry/createUpstreamRegistry.js";
import { indexRoutes, type RouteIndex } from "../core/routes/indexRoutes.js";
import type { RoutingTable } from "../core/routes/routingTable.js";
import { createWeightsView, type WeightsView } from "../core/weights/createWeightsView.js";
import type { InstanceContext } from "./routerPorts.js";

/** Weights that were named, as they are told. */
export interface ReportedWeights {
    readonly model: string;
    readonly version: number;
    /** Milliseconds since they were named; undefined where nobody saw it. */
    readonly ageMs?: number | undefined;
}

/** Part of the time limit for older weights that is taken as passed when nobody saw newer ones being named. */
const unknownAgeShare = 0.4;

/** The views. */
export interface InstanceViews {
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly health: HealthView;
    readonly use: UpstreamUseTracker;
    readonly parts: PartView;
    readonly routes: () => RouteIndex | undefined;
    /** Puts a configuration in force unless a newer one is. */
    readonly applyTable: (table: RoutingTable, source: string) => void;
    readonly recordTarget: (named: ReportedWeights, source: string) => void;
    /** Versions that were named, for peers. */
    readonly describeTargets: () => readonly ReportedWeights[];
    /** Calls `action` after anything has changed that lets requests be placed. */
    readonly onChange: (action: () => void) => void;
    readonly notifyChange: () => void;
}

/**
 * Assembles the views; they are empty.
 *
 * @param context - The instance.
 * @returns The views.
 */
export function assembleViews(context: InstanceContext): InstanceViews {
    const { clock, settings, writeLog, metrics } = context;
    const weights = createWeightsView();
    const health = createHealthView();
    const parts = createPartView();
    const actions: (() => void)[] = [];
    let index: RouteIndex | undefined;
    const noteChange = () => actions.forEach(action => action());

    function onRegistryEvent(event: RegistryEvent): void {
        const { id, service, address, isDraining } = event.record;
        if (event.kind === "restarted" || event.kind === "removed") {
            parts.removeHolder(id);
            health.remove(id);
        }
        metrics.upstreamChanges.inc({ change: event.kind });
        writeLog("upstreamChanged", { change: event.kind, upstream: id, service, address, isDraining });
    }

    const registry = createUpstreamRegistry(onRegistryEvent);
    return {
        registry,
        weights,
        health,
        use: createUpstreamUseTracker(),
        parts,
        routes: () => index,
        applyTable: (table, source) => {
            if (index !== undefined && table.version <= index.table.version) {
                return;
            }
            index = indexRoutes(table);
            const { version, routes, customers } = table;
            writeLog("configurationInForce", { version, source, routes: routes.length, customers: customers.length });
            noteChange();
        },
        recordTarget: ({ model, version, ageMs }, source) => {
            const isObserved = ageMs !== undefined;
            const sinceMs = clock.now() - (ageMs ?? settings.weightsLimitMs * unknownAgeShare);
            if (weights.recordTarget({ model, version, sinceMs, isObserved })) {
                writeLog("weightsNamed", { model, version, source, ageMs });
                noteChange();
            }
        },
        describeTargets: () =>
            weights.listHistory().map(({ model, version, sinceMs, isObserved }) => ({
                model,
                version,
                ageMs: isObserved ? Math.max(0, Math.round(clock.now() - sinceMs)) : undefined,
            })),
        onChange: action => {
            actions.push(action);
        },
        notifyChange: noteChange,
    };
}
