/**
 * @module
 * The fleet as one instance sees it. Each instance sends heartbeats to a bounded number of others and relays when it
 * last saw a bounded sample of further ones, so that the cost of an instance does not grow with the fleet.
 */
import type { FleetInstance, Heartbeat } from "./heartbeat.js";

/** An instance, and when it was last seen, directly or through others, in milliseconds on the local clock. */
export interface FleetMember {
    readonly instance: FleetInstance;
    readonly lastSeenMs: number;
}

/** A view of the fleet. Times are milliseconds on the local clock. */
export interface FleetView {
    /** Applies a heartbeat; returns false when it comes from an earlier incarnation of its sender. */
    readonly applyHeartbeat: (heartbeat: Heartbeat, nowMs: number) => boolean;
    /** Other instances that were seen within the time-out. */
    readonly listLive: (nowMs: number) => readonly FleetMember[];
    /** Addresses to which the next heartbeat is sent. */
    readonly chooseTargets: (nowMs: number) => readonly string[];
    /** Instances to relay with the next heartbeat. */
    readonly chooseKnown: (nowMs: number) => Heartbeat["known"];
    /** Adds addresses from settings or the platform's store, which may be out of date. */
    readonly addContacts: (heartbeatAddresses: readonly string[]) => void;
    /** Upper bound on the instances that ran at once within the last minute, this one included. */
    readonly countInstances: (nowMs: number) => number;
}

/** Options of {@link createFleetView}. */
export interface FleetViewOptions {
    readonly self: string;
    readonly selfHeartbeatAddress: string;
    /** Returns a number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/** Interval of heartbeats, in milliseconds. */
export const heartbeatIntervalMs = 300;

/** Instances to which each heartbeat is sent. */
const fanOut = 14;

/** Instances that are relayed with each heartbeat. */
const relayedCount = 16;

/** Time without heartbeats after which an instance counts as failed: four lost in a row, in milliseconds. */
const directTimeoutMs = 1_300;

/** The same where the last sign of an instance is relayed by others, in milliseconds. */
const relayedTimeoutMs = 2_500;

/** Time for which a failed instance still gets heartbeats, so that it learns of others, in milliseconds. */
const retentionMs = 60_000;

/** Probability that a contact which has not answered yet is sent a heartbeat. */
const contactProbability = 0.5;

function supersedes(next: FleetInstance, known: FleetInstance): boolean {
    if (next.startedAtMs !== known.startedAtMs) {
        return next.startedAtMs > known.startedAtMs;
    }
    return known.state !== "leaving" || next.state === "leaving";
}

/**
 * Creates an empty view.
 *
 * @param options - This instance, and a source of random numbers.
 * @returns The view.
 * @example
 * createFleetView({ self: "entry-1", selfHeartbeatAddress: "10.0.0.1:7340", random }).listLive(clock.now()); // []
 */
export function createFleetView(options: FleetViewOptions): FleetView {
    const members = new Map<string, FleetMember>();
    const contacts = new Set<string>();

    function recordInstance(instance: FleetInstance, seenMs: number): boolean {
        if (instance.name === options.self) {
            return false;
        }
        const known = members.get(instance.name);
        // A clock that was set back gives a new incarnation an earlier start: accept it once the old one has timed out.
        const isTimedOut = known !== undefined && seenMs - known.lastSeenMs > directTimeoutMs;
        if (known !== undefined && !isTimedOut && !supersedes(instance, known.instance)) {
            return false;
        }
        const isSameIncarnation = known?.instance.startedAtMs === instance.startedAtMs;
        const latestMs = isSameIncarnation ? Math.max(seenMs, known.lastSeenMs) : seenMs;
        members.set(instance.name, { instance, lastSeenMs: latestMs });
        contacts.delete(instance.heartbeatAddress);
        return true;
    }

    function timeoutMs(): number {
        return members.size <= fanOut ? directTimeoutMs : relayedTimeoutMs;
    }

    function sampleItems<T>(items: readonly T[], count: number): readonly T[] {
        if (items.length <= count) {
            return items;
        }
        const samples = items.map(item => ({ item, order: options.random() }));
        return samples.toSorted((left, right) => left.order - right.order).slice(0, count).map(sample => sample.item);
    }

    function listRecent(nowMs: number): readonly FleetMember[] {
        for (const [name, member] of members) {
            if (nowMs - member.lastSeenMs > retentionMs) {
                members.delete(name);
            }
        }
        return [...members.values()];
    }

    function chooseTargets(nowMs: number): readonly string[] {
        const addresses = listRecent(nowMs).map(member => member.instance.heartbeatAddress);
        const contacted = [...contacts].filter(() => options.random() < contactProbability);
        return [...sampleItems(addresses, fanOut), ...sampleItems(contacted, fanOut)];
    }

    function listLive(nowMs: number): readonly FleetMember[] {
        return [...members.values()].filter(member => nowMs - member.lastSeenMs < timeoutMs());
    }

    return {
        applyHeartbeat: (heartbeat, nowMs) => {
            for (const { instance, ageMs } of heartbeat.known) {
                recordInstance(instance, nowMs - ageMs);
            }
            return recordInstance(heartbeat.from, nowMs);
        },
        listLive,
        chooseTargets,
        chooseKnown: nowMs =>
            sampleItems(listLive(nowMs), relayedCount)
                .map(member => ({
                    instance: member.instance,
                    ageMs: Math.max(0, Math.round(nowMs - member.lastSeenMs)),
                })),
        addContacts: addresses => {
            const known = new Set([...members.values()].map(member => member.instance.heartbeatAddress));
            addresses.filter(address => address !== options.selfHeartbeatAddress && !known.has(address))
                .forEach(address => contacts.add(address));
        },
        countInstances: nowMs => listRecent(nowMs).length + 1,
    };
}
