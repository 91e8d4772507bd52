/**
 * @module
 * Assembles what an instance believes: configuration, upstreams, weights, health and use.
 */
import { createHealthView, type HealthView } from "../core/placement/createHealthView.js";
import { createPartView, type PartView } from "../core/placement/createPartView.js";
import { createUpstreamUse, type UpstreamUseAccount } from "../core/placement/createUpstreamUse.js";
import { createUpstreamRegistry, type RegistryEvent, type UpstreamRegistry } from "../core/registry/createUpstreamRegistry.js";
import { indexRoutes, type RouteIndex } from "../core/routes/indexRoutes.js";
import type { RoutingTable } from "../core/routes/routingTable.js";
import { createWeightsView, type WeightsView } from "../core/weights/createWeightsView.js";
import type { InstanceContext } from "./routerPorts.js";

/** The views. */
export interface InstanceViews {
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly health: HealthView;
    readonly use: UpstreamUseAccount;
    readonly parts: PartView;
    readonly routes: () => RouteIndex | undefined;
    /** Puts a configuration in force unless a newer one is. */
    readonly takeTable: (table: RoutingTable, source: string) => void;
    readonly takeNamed: (model: string, version: number, source: string) => void;
    /** Calls `action` after anything has changed that lets requests be placed. */
    readonly onChange: (action: () => void) => void;
    readonly noteChange: () => void;
}

/**
 * Assembles the views; they are empty.
 *
 * @param context - The instance.
 * @returns The views.
 */
export function assembleViews(context: InstanceContext): InstanceViews {
    const { clock, writeLog } = context;
    const weights = createWeightsView();
    const health = createHealthView();
    const parts = createPartView();
    const actions: (() => void)[] = [];
    let index: RouteIndex | undefined;
    const noteChange = () => actions.forEach(action => action());

    function onRegistryEvent(event: RegistryEvent): void {
        const { id, service, address, isDraining } = event.record;
        if (event.kind === "restarted" || event.kind === "removed") {
            parts.forget(id);
            health.forget(id);
        }
        writeLog("upstreamChanged", { change: event.kind, upstream: id, service, address, isDraining });
    }

    const registry = createUpstreamRegistry(onRegistryEvent);
    return {
        registry,
        weights,
        health,
        use: createUpstreamUse(),
        parts,
        routes: () => index,
        takeTable: (table, source) => {
            if (index !== undefined && table.version <= index.table.version) {
                return;
            }
            index = indexRoutes(table);
            const { version, routes, customers } = table;
            writeLog("configurationInForce", { version, source, routes: routes.length, customers: customers.length });
            noteChange();
        },
        takeNamed: (model, version, source) => {
            if (weights.noteNamed(model, version, clock.now())) {
                writeLog("weightsNamed", { model, version, source });
                noteChange();
            }
        },
        onChange: action => {
            actions.push(action);
        },
        noteChange,
    };
}
