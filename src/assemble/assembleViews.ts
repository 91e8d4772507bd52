/**
 * @module
 * Assembles the views of an instance: configuration, upstreams, weights, health, prompt parts and use.
 */
import { createStoreReach, type StoreReach } from "../core/homes/createStoreReach.js";
import { createLoadExchange, type LoadExchange } from "../core/load/createLoadExchange.js";
import { createUpstreamLoads, type UpstreamLoads } from "../core/load/createUpstreamLoads.js";
import { describeLoadView, type LoadViewSummary } from "../core/load/describeLoadView.js";
import { retryAsLoadsFade } from "../core/load/retryAsLoadsFade.js";
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
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
import { assumeTargetTime } from "../core/weights/assumeTargetTime.js";
import { createWeightsView, type WeightsView } from "../core/weights/createWeightsView.js";
import { assembleSignals, type InstanceSignals } from "./assembleSignals.js";
import type { InstanceContext } from "./routerPorts.js";

/** Target weights as reported between instances. */
export interface ReportedWeights {
    readonly model: string;
    readonly version: number;
    /** Milliseconds since they became the target; undefined when no instance observed it. */
    readonly ageMs?: number | undefined;
}

/** How a configuration was read, for the log. */
export interface TableDetails {
    /** Number of its items and fields that could not be decoded. */
    readonly problems: number;
    /** Milliseconds since the read before; undefined at the first read. */
    readonly unreadMs: number | undefined;
}

/** The views. */
export interface InstanceViews {
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly health: HealthView;
    readonly use: UpstreamUseTracker;
    readonly loads: UpstreamLoads;
    readonly loadExchange: LoadExchange;
    readonly describeLoads: () => LoadViewSummary;
    readonly parts: PartView;
    /** Which cache stores answer, by this instance's reads and those of others. */
    readonly storeReach: StoreReach;
    readonly signals: InstanceSignals;
    readonly routes: () => RouteIndex | undefined;
    /** Applies a configuration unless the one in force has the same version or a newer one. */
    readonly applyTable: (table: RoutingTable, source: string, details?: TableDetails) => void;
    readonly recordTarget: (named: ReportedWeights, source: string) => void;
    /** Records that targets may have been set unnoticed until now. */
    readonly recordGap: () => void;
    /** Records that all targets are known that were set until a time on the clock, in milliseconds. */
    readonly recordTargetsKnown: (untilMs: number) => void;
    /** Forgets until when targets are known, after a pause that the clock did not count. */
    readonly forgetTargetsKnown: () => void;
    /** Returns the target weights, newest and earlier ones, as reported to peers. */
    readonly describeTargets: () => readonly ReportedWeights[];
    /** Calls `action` after each change that may let waiting requests be placed. */
    readonly onChange: (action: () => void) => void;
    readonly notifyChange: () => void;
    /** Calls `action` after peers have told of the load of upstreams. */
    readonly onLoads: (action: () => void) => void;
    readonly notifyLoads: () => void;
    /** Calls these actions, too, while requests are placed by loads of which the knowledge gets older. */
    readonly notifyFadingLoads: (isFleetDirect: boolean) => void;
    /** Calls `action` after each change of target weights or of the time from which they count. */
    readonly onTargets: (action: () => void) => void;
}

/**
 * Creates empty views.
 *
 * @param context - The instance.
 * @returns The views.
 */
export function assembleViews(context: InstanceContext): InstanceViews {
    const { clock, settings, writeLog, metrics } = context;
    const targetListeners: (() => void)[] = [];
    const weights = createWeightsView(() => targetListeners.forEach(action => action()));
    const health = createHealthView();
    const parts = createPartView();
    const listeners: (() => void)[] = [];
    let index: RouteIndex | undefined;
    /** Until when targets may have been set unnoticed. */
    let blindUntilMs = context.startedMs;
    /** Until when all targets that were set are known. */
    let knownUntilMs = -Infinity;

    /** A target that was not there when the targets were last read is no older than that read. */
    function assumeTime(): number {
        const { weightsLimitMs, reconnectLimitMs: stableWindowMs } = settings;
        return Math.max(knownUntilMs, assumeTargetTime({ blindUntilMs, stableWindowMs, weightsLimitMs }));
    }

    /** A listener that throws keeps neither the others nor the source of the change from going on. */
    function notifyChange(): void {
        for (const action of listeners) {
            try {
                action();
            }
            catch (error) {
                logInternalFailure(writeLog, error);
            }
        }
    }

    function onRegistryEvent(event: RegistryEvent): void {
        const { id, service, address, isDraining } = event.record;
        if (event.kind === "restarted" || event.kind === "removed") {
            parts.removeHolder(id);
            health.remove(id);
            signals.view.remove(id);
            loads.remove(id);
        }
        metrics.upstreamChanges.inc({ change: event.kind });
        writeLog("upstreamChanged", { change: event.kind, upstream: id, service, address, isDraining });
    }

    const registry = createUpstreamRegistry(onRegistryEvent);
    const signals = assembleSignals(context, registry);
    const loads = createUpstreamLoads(registry.find);
    const loadListeners: (() => void)[] = [];
    const notifyLoads = () => loadListeners.forEach(action => action());
    const use = createUpstreamUseTracker({
        onBegin: ({ upstream, ownTokens, sharedTokens }) =>
            loads.recordBegin(upstream, clock.now(), ownTokens + sharedTokens),
        onEnd: (upstream, beganMs) => {
            const nowMs = clock.now();
            loads.recordEnd(upstream, beganMs === undefined ? undefined : nowMs - beganMs, nowMs);
        },
    });
    return {
        registry,
        weights,
        health,
        use,
        loads,
        describeLoads: () => describeLoadView(registry.list(), upstream => loads.estimate(upstream, clock.now())),
        loadExchange: createLoadExchange({
            loads,
            listUpstreams: registry.list,
            digestUpstreams: registry.digest,
        }),
        parts,
        storeReach: createStoreReach(),
        signals,
        routes: () => index,
        applyTable: (table, source, details) => {
            if (index !== undefined && table.version <= index.table.version) {
                return;
            }
            index = indexRoutes(table);
            const { version, routes, customers } = table;
            writeLog("configurationInForce", {
                version,
                source,
                routes: routes.length,
                customers: customers.length,
                ...details,
            });
            notifyChange();
        },
        recordTarget: ({ model, version, ageMs }, source) => {
            const isObserved = ageMs !== undefined;
            const sinceMs = isObserved ? clock.now() - ageMs : assumeTime();
            if (weights.recordTarget({ model, version, sinceMs, isObserved })) {
                writeLog("weightsNamed", { model, version, source, ageMs });
                notifyChange();
            }
        },
        recordGap: () => {
            blindUntilMs = clock.now();
        },
        recordTargetsKnown: untilMs => {
            knownUntilMs = Math.max(knownUntilMs, untilMs);
        },
        forgetTargetsKnown: () => {
            knownUntilMs = -Infinity;
        },
        describeTargets: () =>
            weights.listHistory().map(({ model, version, sinceMs, isObserved }) => ({
                model,
                version,
                ageMs: isObserved ? Math.max(0, Math.round(clock.now() - sinceMs)) : undefined,
            })),
        onChange: action => {
            listeners.push(action);
        },
        notifyChange,
        onLoads: action => {
            loadListeners.push(action);
        },
        notifyLoads,
        notifyFadingLoads: isFleetDirect => retryAsLoadsFade({ loads, isFleetDirect, retry: notifyLoads }),
        onTargets: action => {
            targetListeners.push(action);
        },
    };
}
