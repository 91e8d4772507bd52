/**
 * @module
 * Histories of the rollout lease: instances claim it on one topic and send orders while they hold it, through pauses,
 * partitions, restarts, lost and late appends, and returns of the store from an older copy.
 */
import fc from "fast-check";
import {
    createRolloutLease,
    type LeaseClaim,
    type LeaseRelease,
    orderArrivalMs,
    type RolloutLease,
} from "../../src/core/weights/createRolloutLease.js";

/** Period in which an order may arrive: from when it is sent until the arrival limit. */
export interface SeenOrder {
    readonly holder: string;
    readonly fence: number;
    readonly firstMs: number;
    readonly lastMs: number;
}

/** Faults of the lease that a check has to detect. */
export interface InjectedFaults {
    readonly separationMs: number;
    /** Whether an instance keeps using its lease after a pause. */
    readonly ignoresPauses: boolean;
    /** Whether instances do not see that the store has come back from a copy. */
    readonly ignoresReturns: boolean;
    /** Whether instances take every claim that is left after a return for one that was made since. */
    readonly trustsOldClaims: boolean;
    /** Whether instances tell peers what they know of the topic although claims may be missing from it. */
    readonly tellsUncertain: boolean;
    /** Whether an instance tells peers that it ended its orders before it did. */
    readonly backdatesReleases: boolean;
}

/** One step of a history. */
export type Turn = readonly [
    instance: number,
    action: "act" | "pause" | "partition" | "heal" | "loseAnswer" | "appendLate" | "release" | "restart" | "return",
    durationMs: number,
];

type Claim = Omit<LeaseClaim, "offset">;

interface Instance {
    readonly name: string;
    lease: RolloutLease;
    /** Time that the instance's own clock does not count, in milliseconds. */
    pausedMs: number;
    isPartitioned: boolean;
    /** What it reported at its end, and its own time then. */
    released: LeaseRelease | undefined;
    releasedMs: number;
}

interface LateAppend {
    readonly end: number;
    readonly claim: Claim;
    readonly dueMs: number;
}

/** Time after which an append without an answer is still carried out, in milliseconds. */
const appendDelayMs = 2_000;

/** Time by which a faulty instance reports the end of its orders too early, in milliseconds. */
const backdatedMs = 3_000;

/** Records that a return from a copy loses at most. */
const maxLostRecords = 4;

const commonActions = ["act", "act", "act", "act", "pause", "partition", "heal", "loseAnswer"] as const;
const rareActions = ["appendLate", "release", "restart", "return"] as const;

/** Instances of a small fleet. */
const smallFleet = 3;

/** Length of a turn in a small fleet, in milliseconds. */
const minTurnMs = 5;
const maxTurnMs = 400;

/** A pause lasts as long as this many turns of a small fleet: it may outlast the time after which another instance takes over. */
const pauseTurns = 20;

const sizeOf = (instanceCount: number) => instanceCount / smallFleet;

/** Random turns without or with returns of the store. */
export function createTurnArbitrary(hasReturns: boolean, instanceCount = smallFleet): fc.Arbitrary<Turn> {
    const size = sizeOf(instanceCount);
    const common = Array.from({ length: Math.ceil(size) }, () => commonActions).flat();
    return fc.tuple(
        fc.integer({ min: 0, max: instanceCount - 1 }),
        fc.constantFrom<Turn[1]>(...common, ...(hasReturns ? rareActions : [])),
        // Each instance has its turn, and the store returns, as often in a large fleet as in a small one.
        fc.integer({ min: Math.ceil(minTurnMs / size), max: Math.ceil(maxTurnMs / size) }),
    );
}

/** Plays a history and returns its orders in the order of sending. */
export function playLeaseHistory(
    turns: readonly Turn[],
    faults: InjectedFaults,
    instanceCount = smallFleet,
): readonly SeenOrder[] {
    const topic: Claim[] = [];
    const orders: SeenOrder[] = [];
    let lateAppends: readonly LateAppend[] = [];
    let storeEra = 1;
    let trueMs = 0;
    const createLease = (name: string) => createRolloutLease({ instance: name, separationMs: faults.separationMs });
    const instances = Array.from({ length: instanceCount }, (_, index): Instance => {
        const name = `entry-${index}`;
        return {
            name,
            lease: createLease(name),
            pausedMs: 0,
            isPartitioned: false,
            released: undefined,
            releasedMs: 0,
        };
    });
    const clockOf = (instance: Instance) => trueMs - instance.pausedMs;

    function append(claim: Claim, end: number): boolean {
        if (end !== topic.length) {
            return false;
        }
        topic.push(claim);
        return true;
    }

    function runLateAppends(): void {
        lateAppends.filter(late => late.dueMs <= trueMs).forEach(late => append(late.claim, late.end));
        lateAppends = lateAppends.filter(late => late.dueMs > trueMs);
    }

    function readTopic({ lease, ...instance }: Instance): void {
        const nowMs = trueMs - instance.pausedMs;
        if (!faults.ignoresReturns) {
            lease.recordEra(storeEra, nowMs);
        }
        topic.forEach((claim, offset) => {
            const era = faults.ignoresReturns || faults.trustsOldClaims ? lease.era() : claim.era;
            lease.recordClaim({ instance: claim.instance, era, offset }, nowMs);
        });
        lease.recordEnd(topic.length, nowMs);
    }

    /** Every second turn, an instance receives the heartbeat of the next one. */
    function hear(instance: Instance, durationMs: number): void {
        const peer = instances[(instances.indexOf(instance) + 1) % instances.length]!;
        if (durationMs % 2 === 0 && !instance.isPartitioned && !peer.isPartitioned) {
            const { lease } = peer;
            const knowledge = faults.tellsUncertain
                ? { era: lease.era(), end: lease.end(), ageMs: 60_000 }
                : lease.describeKnowledge(clockOf(peer));
            if (knowledge !== undefined) {
                instance.lease.recordKnowledge(knowledge, clockOf(instance));
            }
            if (peer.released !== undefined) {
                const ageMs = clockOf(peer) - peer.releasedMs;
                instance.lease.recordRelease({ ...peer.released, ageMs }, clockOf(instance));
            }
        }
    }

    function claimLease(instance: Instance, action: Turn[1]): void {
        const { lease, name } = instance;
        const claim = { instance: name, era: lease.era() };
        const end = lease.end();
        if (action === "appendLate") {
            lateAppends = [...lateAppends, { end, claim, dueMs: trueMs + appendDelayMs }];
        }
        else if (append(claim, end) && action !== "loseAnswer") {
            lease.recordOwnClaim({ era: claim.era, offset: end }, clockOf(instance));
        }
    }

    function act(instance: Instance, action: Turn[1], durationMs: number): void {
        const { lease, name } = instance;
        const nowMs = clockOf(instance);
        if (!instance.isPartitioned) {
            readTopic(instance);
            hear(instance, durationMs);
            if (lease.fence(nowMs) === undefined && lease.isFree(nowMs)) {
                claimLease(instance, action);
            }
        }
        const fence = lease.fence(nowMs);
        if (fence !== undefined) {
            orders.push({ holder: name, fence, firstMs: trueMs, lastMs: trueMs + orderArrivalMs });
        }
    }

    function release(instance: Instance): void {
        const nowMs = clockOf(instance);
        instance.lease.release(nowMs);
        instance.released = instance.lease.describeRelease(nowMs);
        instance.releasedMs = nowMs - (faults.backdatesReleases ? backdatedMs : 0);
    }

    function disturb(instance: Instance, action: Turn[1], durationMs: number): void {
        if (action === "pause") {
            // The steady clock does not count a suspension; the wall clock reveals it at the next check.
            instance.pausedMs += durationMs;
            if (!faults.ignoresPauses) {
                instance.lease.relinquish();
            }
        }
        if (action === "release") {
            release(instance);
        }
        if (action === "restart" || action === "release") {
            instance.lease = createLease(instance.name);
        }
        if (action === "return") {
            topic.splice(Math.max(0, topic.length - durationMs % (maxLostRecords + 1)));
            storeEra += 1;
        }
    }

    for (const [index, action, turnMs] of turns) {
        const instance = instances[index]!;
        const durationMs = action === "pause" ? turnMs * pauseTurns * sizeOf(instanceCount) : turnMs;
        disturb(instance, action, durationMs);
        instance.isPartitioned = action === "partition" || (instance.isPartitioned && action !== "heal");
        trueMs += durationMs;
        runLateAppends();
        if (action !== "pause" && action !== "return" && action !== "release") {
            act(instance, action, durationMs);
        }
    }
    return orders;
}

/** Finds an order that comes too soon after one of another holder. */
export function findClose(orders: readonly SeenOrder[], separationMs: number): SeenOrder | undefined {
    return orders.find((order, index) => {
        const before = orders[index - 1];
        return before !== undefined && before.holder !== order.holder
            && order.firstMs - before.lastMs < separationMs;
    });
}

/** Finds an order whose fencing number another holder has used. */
export function findSharedFence(orders: readonly SeenOrder[]): SeenOrder | undefined {
    const holders = new Map<number, string>();
    return orders.find(order => {
        const holder = holders.get(order.fence) ?? order.holder;
        holders.set(order.fence, holder);
        return holder !== order.holder;
    });
}

/** Finds an order with a lower fencing number than an earlier one. */
export function findFallingFence(orders: readonly SeenOrder[]): SeenOrder | undefined {
    return orders.find((order, index) => index > 0 && order.fence < orders[index - 1]!.fence);
}
