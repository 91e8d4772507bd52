/**
 * @module
 * Updates all engines to the target weights while this instance holds the rollout lease.
 */
import { runSteps } from "../../core/effects/runSteps.js";
import { listServing } from "../../core/fleet/listServing.js";
import { logInternalFailure } from "../../core/logEvents/logInternalFailure.js";
import type { UpstreamUseTracker } from "../../core/placement/createUpstreamUseTracker.js";
import type { UpstreamRegistry } from "../../core/registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../../core/registry/upstreamRecord.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";
import { orderArrivalMs } from "../../core/weights/createRolloutLease.js";
import type { TargetWeights, WeightsView } from "../../core/weights/createWeightsView.js";
import {
    type EngineState,
    type LoadEffect,
    type LoadEffectResults,
    type LoadEnd,
    loadWeights,
    type OrderAnswer,
    type RunningRequests,
} from "../../core/weights/loadWeights.js";
import { type LoadCandidate, planLoads } from "../../core/weights/planLoads.js";
import { maintainRolloutLease, type RolloutLeaseDependencies } from "./maintainRolloutLease.js";

/** An order to load weights. */
export interface LoadOrder {
    readonly engine: UpstreamRecord;
    readonly model: string;
    readonly version: number;
    readonly holder: string;
    readonly fence: number;
    readonly expectedOrders: number;
    readonly runningRequests: RunningRequests;
    /** Time after which the connection is closed, in milliseconds. */
    readonly timeoutMs: number;
}

/** Calls to engines, implemented by an adapter. */
export interface EngineOrders {
    readonly readState: (engine: UpstreamRecord, model: string) => Promise<EngineState | undefined>;
    readonly order: (order: LoadOrder) => Promise<OrderAnswer>;
}

/** Dependencies of {@link runRollout}. */
export interface RolloutDependencies extends Omit<RolloutLeaseDependencies, "workSinceMs"> {
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly use: UpstreamUseTracker;
    readonly engines: EngineOrders;
    readonly isLeaving: () => boolean;
    /** Time for which this instance can still take up work for the fleet, in milliseconds. */
    readonly dutyTimeMs: () => number;
    /** Time for which requests are sent to engines after their weights became outdated, in milliseconds. */
    readonly outdatedLimitMs: number;
    /** Time after which all engines have to have newer weights, in milliseconds. */
    readonly allLoadedLimitMs: number;
    /** Whether the instance has its addresses: a process before it on the same ones may still send orders. */
    readonly isListening: () => boolean;
    /** Whether the store was read recently. */
    readonly isStoreFresh: () => boolean;
    readonly onChange: () => void;
    readonly onOrder: (answer: OrderAnswer) => void;
}

/** The rollout. */
export interface Rollout {
    /** Engines that load on this instance's order. */
    readonly listLoading: () => readonly string[];
    /** Whether this instance sends the orders that a rollout needs. */
    readonly isOrdering: () => boolean;
    /** Checks for outdated engines now. */
    readonly wake: () => void;
    /** Gives up the lease, so that no order relies on state from before a pause of the process. */
    readonly relinquishLease: () => void;
    readonly stop: () => void;
}

/** Interval of the check for outdated engines, in milliseconds. */
const checkIntervalMs = 100;

/** Delay before an engine that failed to load is retried, in milliseconds. */
const failedLoadDelayMs = 600;

/** Fraction of the limit for all engines that is used: some loads fail, and instances learn of targets late. */
const limitFraction = 0.8;

/** Time that a load takes until one was observed, in milliseconds. */
const initialLoadMs = 1_000;

/** Weight of the last load in the time that loads are expected to take. */
const lastLoadWeight = 0.3;

/** Time between the report to peers of which engines load and the order, in milliseconds. */
const reportLeadMs = 15;

/** Minimum remaining time of the lease for an order to be sent, in milliseconds. */
const minLeaseRemainingMs = 150;

/**
 * Starts the rollout.
 *
 * @param deps - The components of the instance that the rollout uses.
 * @returns The rollout.
 */
export function runRollout(deps: RolloutDependencies): Rollout {
    const { clock, lease, weights } = deps;
    const loading = new Set<string>();
    /** When engines accepted their orders, in milliseconds: any other order may have been carried out late. */
    const acceptedMs = new Map<string, number>();
    let loadMs = initialLoadMs;
    const retryAtMs = new Map<string, number>();
    let isStopped = false;
    let isChecking = false;
    let workSinceMs: number | undefined;

    const maintainLease = maintainRolloutLease({ ...deps, workSinceMs: () => workSinceMs });

    function listEngines(model: string): readonly UpstreamRecord[] {
        return deps.registry.list().filter(record =>
            !record.isDraining && weights.findVersion(record, model) !== undefined
        );
    }

    function listOutdated(target: TargetWeights): readonly UpstreamRecord[] {
        return listEngines(target.model).filter(record =>
            (weights.findVersion(record, target.model) ?? 0) < target.version
        );
    }

    function listWork(): readonly TargetWeights[] {
        return weights.listTargets().filter(target => listOutdated(target).length > 0);
    }

    async function order(
        engine: UpstreamRecord,
        target: TargetWeights,
        { expectedOrders, runningRequests }: Extract<LoadEffect, { readonly kind: "order"; }>,
    ): Promise<OrderAnswer> {
        // Once this instance has released its addresses, a successor may order under the same name.
        if (isStopped || !await maintainLease() || isStopped) {
            return "unheld";
        }
        deps.checkPause();
        const nowMs = clock.now();
        const fence = lease.fence(nowMs);
        if (fence === undefined || lease.remainingMs(nowMs) < minLeaseRemainingMs) {
            return "unheld";
        }
        const { model, version } = target;
        deps.writeLog("orderSent", { engine: engine.id, model, version, fence, expectedOrders });
        const answer = await deps.engines.order({
            engine,
            model,
            version,
            holder: deps.instance,
            fence,
            expectedOrders,
            runningRequests,
            timeoutMs: orderArrivalMs,
        });
        deps.onOrder(answer);
        if (answer === "accepted") {
            acceptedMs.set(engine.id, nowMs);
        }
        else {
            acceptedMs.delete(engine.id);
            deps.writeLog("orderFailed", { engine: engine.id, version, fence, answer });
        }
        if (answer === "fenced") {
            lease.relinquish();
        }
        return answer;
    }

    function endLoad(engine: UpstreamRecord, target: TargetWeights, end: LoadEnd): void {
        const beganMs = acceptedMs.get(engine.id);
        acceptedMs.delete(engine.id);
        loading.delete(engine.id);
        deps.writeLog("loadEnded", { engine: engine.id, model: target.model, version: target.version, end });
        if (end === "loaded") {
            loadMs += beganMs === undefined ? 0 : (clock.now() - beganMs - loadMs) * lastLoadWeight;
            weights.recordLoaded(engine.id, target.model, target.version);
        }
        else {
            retryAtMs.set(engine.id, clock.now() + failedLoadDelayMs);
        }
        weights.setLoading(deps.instance, [...loading]);
        deps.notifyPeers();
        deps.onChange();
    }

    function load(engine: UpstreamRecord, target: TargetWeights): void {
        const fail = (error: unknown) => {
            logInternalFailure(deps.writeLog, error);
            endLoad(engine, target, "rejected");
        };
        clock.after(reportLeadMs, () => {
            runSteps<LoadEnd, LoadEffect, LoadEffectResults>(
                loadWeights(target.version),
                {
                    readState: (_, resume) => {
                        deps.engines.readState(engine, target.model).then(state => {
                            if (state?.version !== undefined) {
                                weights.recordLoaded(engine.id, target.model, state.version);
                            }
                            resume(state);
                        }).catch(fail);
                    },
                    order: (effect, resume) => {
                        order(engine, target, effect).then(resume).catch(fail);
                    },
                    wait: (effect, resume) => {
                        clock.after(effect.delayMs, () => resume(undefined));
                    },
                },
                end => endLoad(engine, target, end),
                fail,
            );
        });
    }

    function startLoads(target: TargetWeights): void {
        const nowMs = clock.now();
        const engines = listEngines(target.model);
        const candidates = engines.map((engine): LoadCandidate => {
            const version = weights.findVersion(engine, target.model) ?? 0;
            const sinceMs = weights.outdatedSinceMs(target.model, version) ?? Infinity;
            return {
                id: engine.id,
                isOutdated: version < target.version && nowMs >= (retryAtMs.get(engine.id) ?? 0),
                version,
                isLoading: loading.has(engine.id),
                requests: deps.use.read(engine.id).requests,
                usableMs: sinceMs + deps.outdatedLimitMs - nowMs,
                dueInMs: sinceMs + deps.allLoadedLimitMs * limitFraction - nowMs,
            };
        });
        const chosen = planLoads(candidates, { loadMs });
        if (chosen.length === 0) {
            return;
        }
        chosen.forEach(id => loading.add(id));
        weights.setLoading(deps.instance, [...loading]);
        deps.notifyPeers();
        engines.filter(engine => chosen.includes(engine.id)).forEach(engine => load(engine, target));
    }

    /**
     * A leaving holder goes on: another instance has to wait until the lease is free. Where all leave, one of them orders that has
     * at least as much time as those that start then have to wait.
     */
    function mayOrder(): boolean {
        if (!deps.isListening() || !deps.isStoreFresh()) {
            return false;
        }
        if (!deps.isLeaving() || lease.fence(clock.now()) !== undefined) {
            return true;
        }
        return listServing(deps.listLive()).length === 0 && deps.dutyTimeMs() >= lease.takeoverDelayMs;
    }

    async function check(): Promise<void> {
        const work = listWork();
        if (work.length === 0 || !mayOrder()) {
            workSinceMs = undefined;
            return;
        }
        workSinceMs ??= clock.now();
        if (await maintainLease()) {
            work.forEach(startLoads);
        }
    }

    function wake(): void {
        if (isChecking || isStopped) {
            return;
        }
        isChecking = true;
        check().catch((error: unknown) => {
            logInternalFailure(deps.writeLog, error);
        }).finally(() => {
            isChecking = false;
        });
    }

    const stopChecking = repeatEvery(clock, checkIntervalMs, wake);
    return {
        listLoading: () => [...loading],
        isOrdering: () => workSinceMs !== undefined && lease.fence(clock.now()) !== undefined,
        wake,
        relinquishLease: () => lease.relinquish(),
        stop: () => {
            if (isStopped) {
                return;
            }
            isStopped = true;
            stopChecking();
            lease.release(clock.now());
            if (lease.describeRelease(clock.now()) !== undefined) {
                deps.notifyPeers();
            }
        },
    };
}
