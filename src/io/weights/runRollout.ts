/**
 * @module
 * Brings all engines to the newest weights while this instance holds the rollout lease.
 */
import { runSteps } from "../../core/effects/runSteps.js";
import type { UpstreamUseTracker } from "../../core/placement/createUpstreamUseTracker.js";
import type { UpstreamRegistry } from "../../core/registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../../core/registry/upstreamRecord.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";
import { orderArrivalMs } from "../../core/weights/createRolloutLease.js";
import type { NamedWeights, WeightsView } from "../../core/weights/createWeightsView.js";
import {
    type EngineState,
    type LoadEffect,
    type LoadEffectResults,
    type LoadEnd,
    loadWeights,
    type OrderAnswer,
} from "../../core/weights/loadWeights.js";
import { planLoads } from "../../core/weights/planLoads.js";
import { keepRolloutLease, type LeaseKeeperDependencies } from "./keepRolloutLease.js";

/** An order to load weights. */
export interface LoadOrder {
    readonly engine: UpstreamRecord;
    readonly model: string;
    readonly version: number;
    readonly holder: string;
    readonly fence: number;
    readonly expectedOrders: number;
    /** Time after which the connection is closed, in milliseconds. */
    readonly timeoutMs: number;
}

/** Calls to engines, by an adapter. */
export interface EngineOrders {
    readonly readState: (engine: UpstreamRecord, model: string) => Promise<EngineState | undefined>;
    readonly order: (order: LoadOrder) => Promise<OrderAnswer>;
}

/** What the rollout needs. */
export interface RolloutDependencies extends Omit<LeaseKeeperDependencies, "workSinceMs"> {
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly use: UpstreamUseTracker;
    readonly engines: EngineOrders;
    readonly isLeaving: () => boolean;
    /** Whether the store was read a short time ago. */
    readonly isStoreFresh: () => boolean;
    readonly onChange: () => void;
    readonly onOrder: (answer: OrderAnswer) => void;
}

/** The rollout. */
export interface Rollout {
    /** Engines that this instance has ordered to load. */
    readonly listLoading: () => readonly string[];
    /** Looks for work soon. */
    readonly wake: () => void;
    /** Takes no further step on what was believed before a pause of the process. */
    readonly distrust: () => void;
    readonly stop: () => void;
}

/** Interval at which work is looked for, in milliseconds. */
const tickMs = 100;

/** Time for which an engine that failed to load is left alone, in milliseconds. */
const failedPauseMs = 600;

/** Time that peers get to learn which engines load before the order is sent, in milliseconds. */
const tellLeadMs = 15;

/** Least time left of the lease with which an order is sent, in milliseconds. */
const orderMarginMs = 150;

/**
 * Starts to look for work.
 *
 * @param deps - The instance's parts.
 * @returns The rollout.
 */
export function runRollout(deps: RolloutDependencies): Rollout {
    const { clock, lease, weights } = deps;
    const loading = new Map<string, string>();
    const pausedUntil = new Map<string, number>();
    let isStopped = false;
    let isTicking = false;
    let workSinceMs: number | undefined;

    const keepLease = keepRolloutLease({ ...deps, workSinceMs: () => workSinceMs });

    function listEngines(model: string): readonly UpstreamRecord[] {
        return deps.registry.list().filter(record =>
            !record.isDraining && weights.versionAt(record, model) !== undefined
        );
    }

    function listOutdated(named: NamedWeights): readonly UpstreamRecord[] {
        return listEngines(named.model).filter(record => (weights.versionAt(record, named.model) ?? 0) < named.version);
    }

    function listWork(): readonly NamedWeights[] {
        return weights.listNamed().filter(named => listOutdated(named).length > 0);
    }

    async function order(engine: UpstreamRecord, named: NamedWeights, expectedOrders: number): Promise<OrderAnswer> {
        if (!await keepLease()) {
            return "unheld";
        }
        deps.checkPause();
        const nowMs = clock.now();
        const fence = lease.fence(nowMs);
        if (fence === undefined || lease.remainingMs(nowMs) < orderMarginMs) {
            return "unheld";
        }
        const { model, version } = named;
        deps.writeLog("orderSent", { engine: engine.id, model, version, fence, expectedOrders });
        const timeoutMs = orderArrivalMs;
        const holder = deps.instance;
        const answer = await deps.engines.order({ engine, model, version, holder, fence, expectedOrders, timeoutMs });
        deps.onOrder(answer);
        if (answer !== "accepted") {
            deps.writeLog("orderFailed", { engine: engine.id, version, fence, answer });
        }
        if (answer === "fenced") {
            lease.giveUp();
        }
        return answer;
    }

    function endLoad(engine: UpstreamRecord, named: NamedWeights, end: LoadEnd): void {
        loading.delete(engine.id);
        deps.writeLog("loadEnded", { engine: engine.id, model: named.model, version: named.version, end });
        if (end === "loaded") {
            weights.noteLoaded(engine.id, named.model, named.version);
        }
        else {
            pausedUntil.set(engine.id, clock.now() + failedPauseMs);
        }
        weights.setLoading(deps.instance, [...loading.keys()]);
        deps.tellPeers();
        deps.onChange();
    }

    function load(engine: UpstreamRecord, named: NamedWeights): void {
        const fail = (error: unknown) => {
            deps.writeLog("internalFailure", { detail: error instanceof Error ? error.stack : String(error) });
            endLoad(engine, named, "rejected");
        };
        clock.after(tellLeadMs, () => {
            runSteps<LoadEnd, LoadEffect, LoadEffectResults>(
                loadWeights(named.version),
                {
                    readState: (_, resume) => {
                        deps.engines.readState(engine, named.model).then(state => {
                            if (state?.version !== undefined) {
                                weights.noteLoaded(engine.id, named.model, state.version);
                            }
                            resume(state);
                        }).catch(fail);
                    },
                    order: (effect, resume) => {
                        order(engine, named, effect.expectedOrders).then(resume).catch(fail);
                    },
                    wait: (effect, resume) => {
                        clock.after(effect.delayMs, () => resume(undefined));
                    },
                },
                end => endLoad(engine, named, end),
                fail,
            );
        });
    }

    function startLoads(named: NamedWeights): void {
        const nowMs = clock.now();
        const engines = listEngines(named.model);
        const candidates = engines.map(engine => ({
            id: engine.id,
            isOutdated: (weights.versionAt(engine, named.model) ?? 0) < named.version
                && nowMs >= (pausedUntil.get(engine.id) ?? 0),
            version: weights.versionAt(engine, named.model) ?? 0,
            isLoading: loading.has(engine.id),
            requests: deps.use.read(engine.id).requests,
        }));
        const chosen = planLoads(candidates);
        if (chosen.length === 0) {
            return;
        }
        chosen.forEach(id => loading.set(id, named.model));
        weights.setLoading(deps.instance, [...loading.keys()]);
        deps.tellPeers();
        engines.filter(engine => chosen.includes(engine.id)).forEach(engine => load(engine, named));
    }

    async function tick(): Promise<void> {
        const work = listWork();
        if (work.length === 0 || deps.isLeaving() || !deps.isStoreFresh()) {
            workSinceMs = undefined;
            return;
        }
        workSinceMs ??= clock.now();
        if (await keepLease()) {
            work.forEach(startLoads);
        }
    }

    function wake(): void {
        if (isTicking || isStopped) {
            return;
        }
        isTicking = true;
        tick().catch((error: unknown) => {
            deps.writeLog("internalFailure", { detail: error instanceof Error ? error.stack : String(error) });
        }).finally(() => {
            isTicking = false;
        });
    }

    const stopTicking = repeatEvery(clock, tickMs, wake);
    return {
        listLoading: () => [...loading.keys()],
        wake,
        distrust: () => lease.giveUp(),
        stop: () => {
            isStopped = true;
            stopTicking();
        },
    };
}
