/**
 * @module
 * Brings all engines to the newest weights while this instance holds the rollout lease.
 */
import { runSteps } from "../../core/effects/runSteps.js";
import type { FleetMember } from "../../core/fleet/createFleetView.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import type { UpstreamUseAccount } from "../../core/placement/createUpstreamUse.js";
import type { AppendResult, RecordStore } from "../../core/ports/recordStore.js";
import type { UpstreamRegistry } from "../../core/registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../../core/registry/upstreamRecord.js";
import type { Clock } from "../../core/time/clock.js";
import { leaseValidMs, orderArrivalMs, type RolloutLease } from "../../core/weights/createRolloutLease.js";
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
export interface RolloutDependencies {
    readonly clock: Clock;
    readonly instance: string;
    readonly store: RecordStore;
    readonly leaseTopic: string;
    readonly lease: RolloutLease;
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly use: UpstreamUseAccount;
    readonly engines: EngineOrders;
    readonly listLive: () => readonly FleetMember[];
    readonly isLeaving: () => boolean;
    /** Notices a pause of the process before anything that must not trust the time before it. */
    readonly checkPause: () => void;
    /** Whether the store was read a short time ago. */
    readonly isStoreFresh: () => boolean;
    /** Tells peers at once which engines load. */
    readonly tellPeers: () => void;
    readonly onChange: () => void;
    readonly writeLog: WriteLog;
    readonly onOrder: (answer: OrderAnswer) => void;
    readonly onClaim: (result: AppendResult["kind"]) => void;
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

/** Part of the lease's validity that is left when it is renewed. */
const renewShare = 0.5;

/** Time for which another instance waits for the preferred one to begin, in milliseconds. */
const stepInMs = 1_500;

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
    let renewal: Promise<boolean> | undefined;

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

    /** The last holder goes on; without it the instance whose name is first steps in, and after a while any other. */
    function isPreferred(nowMs: number): boolean {
        const live = deps.listLive().map(member => member.instance)
            .filter(instance => instance.state === "serving");
        const holder = lease.holder();
        if (holder === deps.instance) {
            return true;
        }
        const waitedMs = nowMs - (workSinceMs ?? nowMs);
        if (waitedMs > stepInMs) {
            const rank = live.filter(instance => instance.name < deps.instance).length;
            return waitedMs > stepInMs + rank * tickMs;
        }
        if (holder !== undefined && live.some(instance => instance.name === holder)) {
            return false;
        }
        return live.every(instance => instance.name > deps.instance);
    }

    async function learnClaims(): Promise<boolean> {
        const read = await deps.store.readPlain(deps.leaseTopic, lease.end());
        const nowMs = clock.now();
        if (read.kind === "failed") {
            return false;
        }
        if (read.kind === "truncated") {
            lease.noteEnd(read.first, nowMs);
            return false;
        }
        for (const record of read.records) {
            lease.noteClaim({ instance: Buffer.from(record.value).toString(), offset: record.offset }, nowMs);
        }
        lease.noteEnd(read.end, nowMs);
        return true;
    }

    async function claim(): Promise<void> {
        const sentMs = clock.now();
        const appended = await deps.store.appendAt(deps.leaseTopic, lease.end(), Buffer.from(deps.instance));
        deps.onClaim(appended.kind);
        if (appended.kind === "appended") {
            lease.noteOwn(appended.offset, sentMs);
            deps.writeLog("leaseTaken", { fence: appended.offset });
            deps.tellPeers();
        }
        else {
            deps.writeLog("leaseLost", { reason: appended.kind });
            await learnClaims();
        }
    }

    async function renewLease(): Promise<boolean> {
        const nowMs = clock.now();
        if (lease.fence(nowMs) !== undefined && lease.remainingMs(nowMs) > leaseValidMs * renewShare) {
            return true;
        }
        const mustClaim = lease.fence(nowMs) === undefined;
        // The store is asked only when, by what peers tell, nobody can hold the lease.
        if (mustClaim && (!isPreferred(nowMs) || !lease.isFree(nowMs) || !await learnClaims())) {
            return false;
        }
        if (lease.isFree(clock.now())) {
            await claim();
        }
        return lease.fence(clock.now()) !== undefined;
    }

    /** Makes sure that the lease is held with enough time left; loads that ask at once share one append. */
    function keepLease(): Promise<boolean> {
        deps.checkPause();
        renewal ??= renewLease().finally(() => {
            renewal = undefined;
        });
        return renewal;
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

    function schedule(): void {
        clock.after(tickMs, () => {
            if (!isStopped) {
                wake();
                schedule();
            }
        });
    }
    schedule();
    return {
        listLoading: () => [...loading.keys()],
        wake,
        distrust: () => lease.giveUp(),
        stop: () => {
            isStopped = true;
        },
    };
}
