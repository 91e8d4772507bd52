/**
 * @module
 * Instances with quotas on a virtual clock: messages take time and get lost, instances pause, end, start again and lose each other.
 */
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createCustomerQuotas, type CustomerQuotas } from "../../src/core/quotas/createCustomerQuotas.js";
import { createInstanceCensus } from "../../src/core/quotas/createInstanceCensus.js";
import type { QuotaMessage } from "../../src/core/quotas/quotaMessage.js";
import { pledgeTermMs } from "../../src/core/quotas/quotaTimes.js";
import type { CustomerQuota } from "../../src/core/quotas/quotaTypes.js";
import type { QuotaPlan } from "./quotaHistoryTypes.js";

/** One process of an instance. */
export interface QuotaProcess {
    readonly name: string;
    readonly startedMs: number;
    readonly quotas: CustomerQuotas;
    isEnded: boolean;
    isPaused: boolean;
    /** What is done once the pause is over. */
    readonly deferred: (() => void)[];
    /** When others were last heard of. */
    readonly seenMs: Map<string, number>;
}

/** A fleet. */
export interface QuotaFleet {
    readonly clock: VirtualClock;
    readonly names: readonly string[];
    readonly find: (name: string) => QuotaProcess | undefined;
    readonly start: (name: string) => void;
    readonly end: (name: string) => void;
    readonly pause: (name: string) => void;
    readonly resume: (name: string) => void;
    /** Divides the network: instances reach those of the same side only. */
    readonly setSides: (sides: ReadonlyMap<string, number>) => void;
    /** Lets instances get no messages. */
    readonly setDeaf: (names: readonly string[]) => void;
    readonly countMessages: () => number;
    /** Bytes of all messages without the headers of datagrams, from a sample of them. */
    readonly estimateBytes: () => number;
    /** Quotas as the instance knows them. */
    readonly quotasAt: (name: string) => ReadonlyMap<string, CustomerQuota>;
}

const updateMs = 300;
const viewTimeoutMs = 3_000;
const discoveryMs = 300;
const contactsMs = 60_000;

/** One message in so many is measured. */
const sampleInterval = 7;

/** Time in which all instances learn of a configuration, in milliseconds. */
export const configurationMs = 3_000;

export function createQuotaFleet(plan: QuotaPlan): QuotaFleet {
    const clock = createVirtualClock(plan.seed);
    const { random } = clock;
    const names = Array.from({ length: plan.instances }, (_, index) => `entry-${index + 1}`);
    const processes = new Map<string, QuotaProcess>();
    const started = new Map<string, number>();
    let sides: ReadonlyMap<string, number> = new Map();
    let deaf: ReadonlySet<string> = new Set();
    let messages = 0;
    let sampledBytes = 0;

    const isConnected = (from: string, to: string) => (sides.get(from) ?? 0) === (sides.get(to) ?? 0);
    const before = new Map(plan.customers.map(one => [one.name, one.quota]));
    const factor = plan.quotaChange?.factor ?? 1;
    const after = new Map(plan.customers.map(({ name, quota }) => [
        name,
        { ...quota, ratePerSecond: quota.ratePerSecond * factor, burst: quota.burst * factor },
    ]));
    const learnedMs = new Map(names.map(name => [
        name,
        (plan.quotaChange?.atMs ?? Infinity) + random() * configurationMs,
    ]));
    const quotasAt = (name: string) => (clock.now() >= learnedMs.get(name)! ? after : before);

    function run(process: QuotaProcess, action: () => void): void {
        if (process.isPaused) {
            process.deferred.push(action);
        }
        else if (!process.isEnded) {
            action();
        }
    }

    function deliver(from: string, to: string, message: QuotaMessage): void {
        if (messages % sampleInterval === 0) {
            sampledBytes += JSON.stringify(message).length;
        }
        messages += 1;
        const process = processes.get(to);
        if (process === undefined || !isConnected(from, to) || deaf.has(to) || random() < plan.lossRatio) {
            return;
        }
        const delayMs = random() < 0.02 ? 50 * random() : 1 + 3 * random();
        clock.after(delayMs, () => run(process, () => process.quotas.receive(from, message)));
    }

    function start(name: string): void {
        const startedMs = clock.now();
        started.set(name, startedMs);
        const census = createInstanceCensus();
        const seenMs = new Map<string, number>();
        const listLive = () => [...seenMs].filter(([, atMs]) => clock.now() - atMs < viewTimeoutMs).map(([one]) => one);
        const ageMs = () => clock.now() - startedMs;
        function countInstances(): number | undefined {
            const contacts = ageMs() < contactsMs ? started.size : 0;
            return ageMs() < discoveryMs ? undefined : Math.max(census.countOthers(clock.now()) + 1, contacts);
        }
        const process: QuotaProcess = {
            name,
            startedMs,
            isEnded: false,
            isPaused: false,
            deferred: [],
            seenMs,
            quotas: createCustomerQuotas({
                clock: {
                    now: clock.now,
                    wallNow: clock.now,
                    after: (delayMs, action) => clock.after(delayMs, () => run(process, action)),
                },
                random,
                self: name,
                bounds: plan.bounds,
                quotas: () => quotasAt(name),
                listCandidates: () => [name, ...listLive()],
                countInstances,
                starts: () => new Map([...started].filter(([other]) => seenMs.has(other))),
                mayPledge: () =>
                    ageMs() >= pledgeTermMs || (listLive().length + 1) * 2 > (countInstances() ?? Infinity),
                mayOwn: () => true,
                send: (to, message) => deliver(name, to, message),
                onSilentOwner: () => undefined,
            }),
        };
        processes.set(name, process);
        const update = () => {
            if (process.isEnded) {
                return;
            }
            for (const other of processes.values()) {
                if (other !== process && isConnected(name, other.name) && !other.isPaused) {
                    // Heartbeats are relayed, so that views lag behind.
                    const heardMs = Math.max(other.startedMs, clock.now() - random() * 1_000);
                    seenMs.set(other.name, Math.max(seenMs.get(other.name) ?? 0, heardMs));
                }
            }
            run(process, () => {
                census.update(listLive().map(one => ({ name: one, isLeaving: false })), clock.now());
                process.quotas.update();
            });
            clock.after(updateMs, update);
        };
        clock.after(random() * updateMs, update);
    }

    return {
        clock,
        names,
        find: name => processes.get(name),
        start,
        end: name => {
            const process = processes.get(name);
            if (process !== undefined) {
                process.isEnded = true;
                processes.delete(name);
            }
        },
        pause: name => {
            const process = processes.get(name);
            if (process !== undefined) {
                process.isPaused = true;
            }
        },
        resume: name => {
            const process = processes.get(name);
            if (process?.isPaused === true) {
                process.isPaused = false;
                // The pause is noticed before anything else is done.
                process.quotas.clear();
                process.deferred.splice(0).forEach(action => run(process, action));
            }
        },
        setSides: next => {
            sides = next;
        },
        setDeaf: deafNames => {
            deaf = new Set(deafNames);
        },
        countMessages: () => messages,
        estimateBytes: () => sampledBytes * sampleInterval,
        quotasAt,
    };
}
