/**
 * @module
 * The instances of the fleet as one of them sees them. Each tells a bounded number of others that it runs, and passes on
 * how long ago it heard of some more, so that the cost of an instance does not grow with the fleet.
 */
import type { FleetInstance, Heartbeat } from "./heartbeat.js";

/** An instance with the time at which it was last heard of, in milliseconds on the instance's clock. */
export interface FleetMember {
    readonly instance: FleetInstance;
    readonly lastSeenMs: number;
}

/** The view. Times are milliseconds on the instance's clock. */
export interface FleetView {
    /** Takes a heartbeat; false when it comes from an earlier life of an instance. */
    readonly applyHeartbeat: (heartbeat: Heartbeat, nowMs: number) => boolean;
    /** Other instances that were heard of lately. */
    readonly listLive: (nowMs: number) => readonly FleetMember[];
    /** Addresses to which the next heartbeat is sent. */
    readonly chooseTargets: (nowMs: number) => readonly string[];
    /** Instances to be passed on with the next heartbeat. */
    readonly chooseKnown: (nowMs: number) => Heartbeat["known"];
    /** Adds addresses from settings or the platform's store, which may be out of date. */
    readonly addContacts: (heartbeatAddresses: readonly string[]) => void;
    /** Most instances that ran at once within the last minute, this one included. */
    readonly countInstances: (nowMs: number) => number;
}

/** Options of {@link createFleetView}. */
export interface FleetViewOptions {
    readonly self: string;
    readonly selfHeartbeatAddress: string;
    /** A number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/** Interval of heartbeats, in milliseconds. */
export const heartbeatIntervalMs = 300;

/** Instances that get each heartbeat. */
const fanOut = 14;

/** Instances that are passed on with each heartbeat. */
const knownCount = 16;

/** Time without news after which an instance counts as gone: four lost heartbeats in a row, in milliseconds. */
const directLifeMs = 1_300;

/** The same where news comes through others, in milliseconds. */
const relayedLifeMs = 2_500;

/** Time for which a gone instance is still told that others run, in milliseconds. */
const forgetMs = 60_000;

/** Chance that a contact which has not answered yet is tried with a heartbeat. */
const contactChance = 0.5;

function supersedes(next: FleetInstance, known: FleetInstance): boolean {
    if (next.startedAtMs !== known.startedAtMs) {
        return next.startedAtMs > known.startedAtMs;
    }
    return known.state !== "leaving" || next.state === "leaving";
}

/**
 * Creates a view that knows nobody.
 *
 * @param options - This instance, and a random source.
 * @returns The view.
 * @example
 * createFleetView({ self: "entry-1", selfHeartbeatAddress: "10.0.0.1:7340", random }).listLive(clock.now()); // []
 */
export function createFleetView(options: FleetViewOptions): FleetView {
    const members = new Map<string, FleetMember>();
    const contacts = new Set<string>();

    function note(instance: FleetInstance, heardMs: number): boolean {
        if (instance.name === options.self) {
            return false;
        }
        const known = members.get(instance.name);
        // A clock that was set back gives a new life an earlier start; it is taken once the old life has fallen silent.
        const isSilent = known !== undefined && heardMs - known.lastSeenMs > directLifeMs;
        if (known !== undefined && !isSilent && !supersedes(instance, known.instance)) {
            return false;
        }
        const isSameLife = known?.instance.startedAtMs === instance.startedAtMs;
        const latestMs = isSameLife ? Math.max(heardMs, known.lastSeenMs) : heardMs;
        members.set(instance.name, { instance, lastSeenMs: latestMs });
        contacts.delete(instance.heartbeatAddress);
        return true;
    }

    function lifeMs(): number {
        return members.size <= fanOut ? directLifeMs : relayedLifeMs;
    }

    function chooseSome<T>(items: readonly T[], count: number): readonly T[] {
        if (items.length <= count) {
            return items;
        }
        const drawn = items.map(item => ({ item, draw: options.random() }));
        return drawn.toSorted((left, right) => left.draw - right.draw).slice(0, count).map(one => one.item);
    }

    function listRecent(nowMs: number): readonly FleetMember[] {
        for (const [name, member] of members) {
            if (nowMs - member.lastSeenMs > forgetMs) {
                members.delete(name);
            }
        }
        return [...members.values()];
    }

    function chooseTargets(nowMs: number): readonly string[] {
        const addresses = listRecent(nowMs).map(member => member.instance.heartbeatAddress);
        const tried = [...contacts].filter(() => options.random() < contactChance);
        return [...chooseSome(addresses, fanOut), ...chooseSome(tried, fanOut)];
    }

    function listLive(nowMs: number): readonly FleetMember[] {
        return [...members.values()].filter(member => nowMs - member.lastSeenMs < lifeMs());
    }

    return {
        applyHeartbeat: (heartbeat, nowMs) => {
            for (const { instance, ageMs } of heartbeat.known) {
                note(instance, nowMs - ageMs);
            }
            return note(heartbeat.from, nowMs);
        },
        listLive,
        chooseTargets,
        chooseKnown: nowMs =>
            chooseSome(listLive(nowMs), knownCount)
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
