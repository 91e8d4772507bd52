/**
 * @module
 * Plays rollouts by a fleet of instances on a virtual clock, while holders of the order lease are killed.
 */
import { setImmediate } from "node:timers/promises";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { FleetInstance } from "../../src/core/fleet/heartbeat.js";
import { createUpstreamUseTracker } from "../../src/core/placement/createUpstreamUseTracker.js";
import type { RecordStore, StoreFailure } from "../../src/core/ports/recordStore.js";
import { createUpstreamRegistry, type UpstreamRegistry } from "../../src/core/registry/createUpstreamRegistry.js";
import type { Clock } from "../../src/core/time/clock.js";
import { computeOutdatedLimitMs } from "../../src/core/weights/computeOutdatedLimitMs.js";
import { createRolloutLease, type RolloutLease } from "../../src/core/weights/createRolloutLease.js";
import { createWeightsView, type WeightsView } from "../../src/core/weights/createWeightsView.js";
import { decodeLeaseRecord } from "../../src/core/weights/leaseRecord.js";
import type { OrderAnswer } from "../../src/core/weights/loadWeights.js";
import { type Rollout, runRollout } from "../../src/io/weights/runRollout.js";
import { createEngineGroup, type EngineGroup, type ReceivedOrder } from "./createEngineGroup.js";

/** What happens in a play. Times are milliseconds from its start. */
export interface RolloutPlan {
    readonly seed: number;
    readonly instances: number;
    readonly engines: number;
    /** Time for which an engine loads while at most three do. */
    readonly loadMs: number;
    /** When versions 2, 3 and so on are named. */
    readonly namedMs: readonly number[];
    /** When the holder is killed; left out where none is. */
    readonly killMs?: number;
    /** Time from the claim of each further holder until it is killed. */
    readonly successorKillsMs: readonly number[];
    /** Whether killed instances start again a second later. */
    readonly restarts: boolean;
    /** Instances that the store turns away, and when; left out where it serves all. */
    readonly turnedAway?: { readonly names: readonly string[]; readonly fromMs: number; readonly untilMs: number; };
    readonly endMs: number;
}

/** What was seen. */
export interface RolloutPlay {
    readonly orders: readonly ReceivedOrder[];
    /** For each version, when each engine had it or a newer one; infinite where it never had. */
    readonly loadedMs: readonly (readonly number[])[];
    readonly storeCalls: number;
    /** Calls that the store turned away. */
    readonly refusedCalls: number;
    readonly killed: readonly string[];
}

/** A process. A killed one acts no more, and nothing reaches it. */
interface Process {
    readonly name: string;
    readonly startedMs: number;
    readonly lease: RolloutLease;
    readonly weights: WeightsView;
    readonly registry: UpstreamRegistry;
    readonly lastSeenMs: Map<string, number>;
    rollout: Rollout;
    isAlive: boolean;
}

const model = "easy-read";
const era = 1;
const separationMs = 3_000;
const weightsLimitMs = 8_000;
const allLoadedLimitMs = 11_000;
const stepMs = 10;
const heartbeatIntervalMs = 300;
const memberTimeoutMs = 1_300;
const transitMs = 5;
const appendMs = 6;
const restartMs = 1_000;
/** Time within which instances learn of a version. */
const maxLearnMs = 150;
const failure: StoreFailure = { kind: "failed", cause: "connection", reason: "not used" };

interface Fleet {
    readonly clock: VirtualClock;
    readonly plan: RolloutPlan;
    readonly engines: EngineGroup;
    readonly topic: Uint8Array[];
    readonly processes: Process[];
    readonly killed: string[];
    readonly pendingKillsMs: number[];
    storeCalls: number;
    refusedCalls: number;
}

const listAlive = ({ processes }: Fleet) => processes.filter(process => process.isAlive);

function listNamed({ plan, clock }: Fleet): readonly number[] {
    return plan.namedMs.filter(ms => ms <= clock.now());
}

/** A clock whose timers end with the process. */
function createProcessClock({ clock }: Fleet, isAlive: () => boolean): Clock {
    return {
        now: clock.now,
        wallNow: clock.wallNow,
        after: (delayMs, action) => clock.after(delayMs, () => isAlive() ? action() : undefined),
    };
}

/** Answers a call of a process after a time; the call takes effect half way, whether or not its caller still lives. */
function call<T>(fleet: Fleet, halfMs: number, act: () => T, isAlive: () => boolean): Promise<T> {
    return new Promise(resolve => {
        fleet.clock.after(halfMs, () => {
            const result = act();
            fleet.clock.after(halfMs, () => isAlive() ? resolve(result) : undefined);
        });
    });
}

function kill(fleet: Fleet, process: Process): void {
    process.isAlive = false;
    process.rollout.stop();
    fleet.killed.push(process.name);
    if (fleet.plan.restarts) {
        fleet.clock.after(restartMs, () => startProcess(fleet, process.name));
    }
}

/** Kills the instance that claimed last, or the one that claims next. */
function killHolder(fleet: Fleet): void {
    const last = fleet.topic.at(-1);
    const holder = last === undefined ? undefined : decodeLeaseRecord(Buffer.from(last).toString()).instance;
    const alive = listAlive(fleet);
    const process = alive.find(one => one.name === holder) ?? alive[0];
    if (process !== undefined) {
        kill(fleet, process);
    }
}

function recordAppend(fleet: Fleet, process: Process): void {
    if (fleet.killed.length > 0 && fleet.killed.at(-1) !== process.name) {
        const delayMs = fleet.pendingKillsMs.shift();
        if (delayMs !== undefined) {
            fleet.clock.after(delayMs, () => kill(fleet, process));
        }
    }
}

function isTurnedAway({ plan: { turnedAway }, clock }: Fleet, { name }: Process): boolean {
    return turnedAway !== undefined && turnedAway.names.includes(name)
        && clock.now() >= turnedAway.fromMs && clock.now() < turnedAway.untilMs;
}

/** Counts a call, and refuses it where the store turns the process away. */
function refuseCall(fleet: Fleet, process: Process): Promise<StoreFailure> | undefined {
    fleet.storeCalls += 1;
    if (!isTurnedAway(fleet, process)) {
        return undefined;
    }
    fleet.refusedCalls += 1;
    return call(fleet, transitMs, () => failure, () => process.isAlive);
}

function createStore(fleet: Fleet, process: () => Process): RecordStore {
    const { topic } = fleet;
    const isAlive = () => process().isAlive;
    return {
        readNewest: () => Promise.resolve(failure),
        readKeyed: () => Promise.resolve(failure),
        putKeyed: () => Promise.resolve(failure),
        close: () => undefined,
        readPlain: (_, from) => {
            return refuseCall(fleet, process()) ?? call(fleet, transitMs, () => {
                const records = topic.slice(from).map((value, index) => ({ offset: from + index, value }));
                return { kind: "records", era, records, next: topic.length, end: topic.length } as const;
            }, isAlive);
        },
        appendAt: (_, end, value) => {
            return refuseCall(fleet, process()) ?? call(fleet, appendMs, () => {
                if (end !== topic.length) {
                    return { kind: "moved", era, end: topic.length } as const;
                }
                topic.push(value);
                recordAppend(fleet, process());
                return { kind: "appended", era, offset: end } as const;
            }, isAlive);
        },
    };
}

function describeInstance({ name, startedMs }: Process): FleetInstance {
    const address = "127.0.0.1:1";
    const addresses = { callerAddress: address, peerAddress: address, heartbeatAddress: address };
    return { name, startedAtMs: startedMs, failureDomain: "domain", state: "serving", ...addresses };
}

function sendHeartbeat(fleet: Fleet, process: Process): void {
    const { clock } = fleet;
    const claim = process.lease.heldClaim(clock.now());
    const knowledge = process.lease.describeKnowledge(clock.now());
    const loading = process.rollout.listLoading();
    const loaded = fleet.engines.list().map(({ id }) => ({ id, version: findVersion(process, id) }));
    clock.after(transitMs, () => {
        for (const peer of listAlive(fleet).filter(one => one.name !== process.name)) {
            peer.lastSeenMs.set(process.name, clock.now());
            peer.weights.setLoading(process.name, loading);
            loaded.forEach(({ id, version }) => peer.weights.recordLoaded(id, model, version));
            if (claim !== undefined) {
                peer.lease.recordReportedClaim(claim, clock.now());
            }
            if (knowledge !== undefined) {
                peer.lease.recordKnowledge(knowledge, clock.now());
            }
        }
    });
}

function findVersion({ registry, weights }: Process, engine: string): number {
    const record = registry.find(engine);
    return record === undefined ? 0 : weights.findVersion(record, model) ?? 0;
}

function readUpstreams({ clock, engines }: Fleet, process: Process): void {
    const records = engines.list().map(({ id, version, acceptedOrders }) => ({
        id,
        service: "adapt",
        address: "127.0.0.1:1",
        failureDomain: "domain",
        isDraining: false,
        slots: 1,
        startedAtMs: 1,
        weights: [{ model, version }],
        acceptedOrders,
    }));
    process.registry.applyList(records, clock.now());
}

function learnTargets(fleet: Fleet, process: Process): void {
    listNamed(fleet).forEach((sinceMs, index) => {
        process.weights.recordTarget({ model, version: index + 2, sinceMs, isObserved: true });
    });
}

function listLive(fleet: Fleet, process: Process) {
    return [...process.lastSeenMs].filter(([, seenMs]) => fleet.clock.now() - seenMs < memberTimeoutMs).map(
        ([name, lastSeenMs]) => ({ lastSeenMs, instance: { ...describeInstance(process), name } }),
    );
}

function startProcess(fleet: Fleet, name: string): void {
    const startedMs = fleet.clock.now();
    const isAlive = () => process.isAlive;
    const clock = createProcessClock(fleet, isAlive);
    const process: Process = {
        name,
        startedMs,
        lease: createRolloutLease({ instance: name, separationMs }),
        weights: createWeightsView(),
        registry: createUpstreamRegistry(() => undefined),
        lastSeenMs: new Map(),
        rollout: undefined as unknown as Rollout,
        isAlive: true,
    };
    fleet.processes.push(process);
    process.lease.recordEra(era, startedMs);
    readUpstreams(fleet, process);
    learnTargets(fleet, process);
    process.rollout = runRollout({
        clock,
        instance: name,
        store: createStore(fleet, () => process),
        leaseTopic: "lease",
        lease: process.lease,
        registry: process.registry,
        weights: process.weights,
        use: createUpstreamUseTracker(),
        engines: {
            readState: engine => call(fleet, transitMs, () => fleet.engines.readState(engine.id), isAlive),
            order: order => call<OrderAnswer>(fleet, transitMs, () => fleet.engines.order(order), isAlive),
        },
        listLive: () => listLive(fleet, process),
        isLeaving: () => false,
        dutyTimeMs: () => Infinity,
        outdatedLimitMs: computeOutdatedLimitMs(weightsLimitMs),
        allLoadedLimitMs,
        isListening: () => true,
        checkPause: () => undefined,
        isStoreFresh: () => true,
        notifyPeers: () => sendHeartbeat(fleet, process),
        onChange: () => undefined,
        writeLog: () => undefined,
        onOrder: () => undefined,
        onClaim: () => undefined,
    });
    const beat = () => {
        sendHeartbeat(fleet, process);
        readUpstreams(fleet, process);
        clock.after(heartbeatIntervalMs, beat);
    };
    clock.after(fleet.clock.random() * heartbeatIntervalMs, beat);
}

function scheduleNaming(fleet: Fleet, namedMs: number): void {
    fleet.clock.after(namedMs, () => {
        listAlive(fleet).forEach(process => {
            const delayMs = fleet.clock.random() * maxLearnMs;
            createProcessClock(fleet, () => process.isAlive).after(delayMs, () => learnTargets(fleet, process));
        });
    });
}

/**
 * Plays a plan.
 *
 * @param plan - The plan.
 * @returns What was seen.
 */
export async function playRolloutFleet(plan: RolloutPlan): Promise<RolloutPlay> {
    const clock = createVirtualClock(plan.seed);
    const engines = createEngineGroup(clock, plan.engines, plan.loadMs);
    const fleet: Fleet = {
        clock,
        plan,
        engines,
        topic: [],
        processes: [],
        killed: [],
        pendingKillsMs: [...plan.successorKillsMs],
        storeCalls: 0,
        refusedCalls: 0,
    };
    Array.from({ length: plan.instances }, (_, index) => startProcess(fleet, `entry-${index}`));
    plan.namedMs.forEach(ms => scheduleNaming(fleet, ms));
    if (plan.killMs !== undefined) {
        clock.after(plan.killMs, () => killHolder(fleet));
    }
    while (clock.now() < plan.endMs) {
        clock.runUntil(clock.now() + stepMs);
        await setImmediate();
    }
    const loadedMs = plan.namedMs.map((_, index) => engines.listLoadedMs(index + 2));
    const { storeCalls, refusedCalls, killed } = fleet;
    return { orders: engines.listOrders(), loadedMs, storeCalls, refusedCalls, killed };
}
