/**
 * @module
 * Plays requests to upstreams of one service on the virtual clock: many instances choose, each on statements that are some
 * time old.
 */
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { UpstreamLoads } from "../../src/core/load/createUpstreamLoads.js";
import type { LoadStatement } from "../../src/core/load/loadTypes.js";
import { createView, policies, type PolicyUpstream } from "./createPolicies.js";
import { createUpstreamModel, type UpstreamModel } from "./createUpstreamModel.js";

/** One play. */
export interface EvenLoadPlan {
    readonly policy: string;
    readonly seed: number;
    readonly instances: number;
    readonly upstreams: number;
    readonly slots: number;
    /** Mean age at which the statements of others arrive, in milliseconds. */
    readonly ageMs: number;
    /** Share of the capacity that the requests need. */
    readonly utilisation: number;
    readonly paceHoldMs: number;
    readonly durationMs: number;
    /** Instance that hears nothing of the others. */
    readonly cutOff?: number;
}

/** What a play measured. */
export interface EvenLoadResult {
    /** Capacity used at the busiest upstream, as a factor of the mean. */
    readonly busiestOverMean: number;
    /** Share of the time in which an upstream is idle while requests wait at another one. */
    readonly idleWhileQueued: number;
    /** Sends that were rejected, as a share of the requests. */
    readonly rejected: number;
    /** Time until a request began and until it ended, in milliseconds. */
    readonly waitP50Ms: number;
    readonly waitP99Ms: number;
    readonly tookP50Ms: number;
    readonly tookP99Ms: number;
    /** Requests that the first instance placed on each upstream. */
    readonly firstPlaced: readonly number[];
}

interface Instance {
    readonly loads: UpstreamLoads;
    readonly own: number[];
    readonly delays: readonly number[];
    waiting: (() => void)[];
}

const workMs = 68;
const minSpeed = 0.7;
const maxSpeed = 1.7;
const failureDomains = 3;
const queueLength = 4;
const reportIntervalMs = 300;
const maxDirectInstances = 15;
const sampleMs = 5;
const retryMs = 20;
const boardLength = 200;

function findQuantile(values: readonly number[], share: number): number {
    return values.toSorted((left, right) => left - right)[Math.floor(values.length * share)] ?? 0;
}

const nameOf = (index: number) => `u-${index}`;

/** Plays the plan. */
export function playEvenLoad(plan: EvenLoadPlan): EvenLoadResult {
    const clock: VirtualClock = createVirtualClock(plan.seed);
    const { random } = clock;
    const slownesses = Array.from(
        { length: plan.upstreams },
        (_, index) => minSpeed + (maxSpeed - minSpeed) * (index / Math.max(1, plan.upstreams - 1)),
    );
    const upstreams: readonly UpstreamModel[] = slownesses.map(slowness =>
        createUpstreamModel(clock, { slots: plan.slots, queue: queueLength, slowness, paceHoldMs: plan.paceHoldMs })
    );
    const boards: LoadStatement[][] = upstreams.map(() => []);
    const isDirect = plan.instances <= maxDirectInstances;
    const instances: readonly Instance[] = Array.from({ length: plan.instances }, () => ({
        loads: createView(plan.slots),
        own: upstreams.map(() => 0),
        delays: upstreams.map(() => plan.ageMs * (0.5 + random())),
        waiting: [],
    }));
    let reported = upstreams.map(() => 0);
    const reportedOwn = instances.map(() => upstreams.map(() => 0));
    const policy = policies[plan.policy]!;
    const waits: number[] = [];
    const tooks: number[] = [];
    const firstPlaced = upstreams.map(() => 0);
    let rejections = 0;
    let samples = 0;
    let idleSamples = 0;

    function state(instance: Instance, index: number, sentMs: number, isRun: boolean): void {
        const stated = upstreams[index]!.state();
        const nowMs = clock.now();
        const upstream = nameOf(index);
        instance.loads.recordAnswer(upstream, stated, {
            sentMs,
            receivedMs: nowMs,
            isTimed: isRun,
            isRejected: !isRun,
        });
        const statement = instance.loads.listStatements().find(one => one.upstream === upstream);
        if (statement !== undefined) {
            boards[index]!.push(statement);
            boards[index]!.splice(0, boards[index]!.length - boardLength);
        }
    }

    /** A small fleet relays no statements; its instances report their requests. */
    function hear(instance: Instance): void {
        if (isDirect || instance === instances[plan.cutOff ?? -1]) {
            return;
        }
        boards.forEach((board, index) => {
            const newest = board.findLast(one => one.atMs <= clock.now() - instance.delays[index]!);
            instance.loads.recordRelayed(newest === undefined ? [] : [newest]);
        });
    }

    function place(instance: Instance, arrivedMs: number, work: number, excluded: readonly number[]): void {
        hear(instance);
        const number = instances.indexOf(instance);
        const choices = upstreams.map((_, index): PolicyUpstream => ({
            id: nameOf(index),
            slots: plan.slots,
            isSameFailureDomain: index % failureDomains === number % failureDomains,
            own: instance.own[index]!,
            reported: isDirect ? reported[index]! - reportedOwn[number]![index]! : undefined,
        })).filter((_, index) => !excluded.includes(index));
        const chosen = policy(choices, { clock, loads: instance.loads });
        const index = chosen === undefined ? -1 : upstreams.findIndex((_, at) => nameOf(at) === chosen.id);
        const retry = (others: readonly number[]) => place(instance, arrivedMs, work, others);
        if (index < 0) {
            clock.after(retryMs, () => retry([]));
            return;
        }
        const sentMs = clock.now();
        instance.own[index]! += 1;
        firstPlaced[index]! += number === 0 ? 1 : 0;
        instance.loads.recordBegin(nameOf(index), sentMs);
        const isTaken = upstreams[index]!.take(work, waitedMs => {
            state(instance, index, sentMs, true);
            instance.own[index]! -= 1;
            instance.loads.recordEnd(nameOf(index), clock.now() - sentMs, clock.now());
            waits.push(sentMs - arrivedMs + waitedMs);
            tooks.push(clock.now() - arrivedMs);
        });
        if (!isTaken) {
            rejections += 1;
            state(instance, index, sentMs, false);
            instance.own[index]! -= 1;
            instance.loads.recordEnd(nameOf(index), undefined, clock.now());
            const others = excluded.length + 1 < upstreams.length ? [...excluded, index] : [];
            clock.after(others.length === 0 ? retryMs : 1, () => retry(others));
        }
    }

    const meanPace = plan.paceHoldMs > 0 ? (minSpeed + maxSpeed) / 2 : 1;
    const capacity = slownesses.reduce((sum, slowness) => sum + plan.slots / (workMs * slowness * meanPace), 0);
    const gapMs = 1 / (capacity * plan.utilisation);

    function arrive(): void {
        const instance = instances[Math.floor(random() * instances.length)]!;
        place(instance, clock.now(), workMs * (0.5 + random()), []);
        clock.after(-Math.log(1 - random()) * gapMs, arrive);
    }

    function sample(): void {
        const states = upstreams.map(one => one.state());
        samples += 1;
        const isQueued = states.some(one => one.waiting > 0);
        idleSamples += isQueued && states.some(one => one.running < one.slots) ? 1 : 0;
        clock.after(sampleMs, sample);
    }

    function report(number: number): void {
        const own = instances[number]!.own;
        reported = reported.map((count, index) => count + own[index]! - reportedOwn[number]![index]!);
        reportedOwn[number] = [...own];
        clock.after(reportIntervalMs, () => report(number));
    }

    arrive();
    sample();
    if (isDirect) {
        instances.forEach((_, number) => clock.after(random() * reportIntervalMs, () => report(number)));
    }
    clock.runUntil(plan.durationMs);
    const used = upstreams.map(one => one.usedMs());
    const meanUsed = used.reduce((sum, one) => sum + one, 0) / used.length;
    return {
        busiestOverMean: Math.max(...used) / meanUsed,
        idleWhileQueued: idleSamples / samples,
        rejected: rejections / Math.max(1, waits.length),
        waitP50Ms: findQuantile(waits, 0.5),
        waitP99Ms: findQuantile(waits, 0.99),
        tookP50Ms: findQuantile(tooks, 0.5),
        tookP99Ms: findQuantile(tooks, 0.99),
        firstPlaced,
    };
}
