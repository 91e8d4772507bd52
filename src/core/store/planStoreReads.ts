/**
 * @module
 * Which instances read the operator's records and the list of upstreams from the platform's store, and how often. In a
 * small fleet all do. In a larger one a few readers in different failure domains do, and the others copy the state of a
 * reader. There is no coordinator: each instance derives the readers from the members that it knows, and one whose copy is
 * too old reads the store itself. So a reader that ends, freezes, or is cut off or turned away by the store delays nobody
 * beyond that age.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import type { FleetInstance } from "../fleet/heartbeat.js";
import { computeLongPollMs } from "./computeLongPollMs.js";

/** An instance that may read the store. */
export type ReaderCandidate = Pick<FleetInstance, "name" | "failureDomain" | "state">;

/** Times within which changes must take effect, in milliseconds. */
export interface FreshnessLimits {
    /** Time after which a draining upstream must get no new requests. */
    readonly drainMs: number;
    /** Time after which a configuration must be in force. */
    readonly configMs: number;
    /** Time after the loss of open connections within which the instance must be up to date with the store again. */
    readonly reconnectLimitMs: number;
}

/** How an instance stays up to date. Times are milliseconds. */
export interface StoreReadPlan {
    /** Whether the instance reads the store all the time. */
    readonly isReader: boolean;
    /** Wait of a long poll of the operator's records. */
    readonly operatorWaitMs: number;
    /** Time between two reads of the list of upstreams. */
    readonly upstreamsIntervalMs: number;
    /** Age at which the state is copied from a peer. */
    readonly copyAgeMs: number;
    /** Age at which an instance that is no reader reads the store. */
    readonly maxAgeMs: number;
    /** Readers other than this instance, the preferred one first; empty where all instances read. */
    readonly readers: readonly string[];
}

const readerKey = hashText("readers of the store");

/** Largest fleet in which all instances read. */
const maxAllReaders = 15;

/** Fewest readers of a larger fleet. */
const minReaders = 4;

/** Instances that copy the state of one reader. */
const instancesPerReader = 24;

/** Time between two reads of the list of upstreams, as a fraction of the time within which draining takes effect. */
const ownReadFraction = 0.4;

/** The same for a reader whose state others copy. */
const sharedReadFraction = 0.3;

/** Wait of a long poll of a reader whose state others copy, as a fraction of the shortest time limit. */
const sharedWaitFraction = 0.35;

/** Age at which a state is copied, as a fraction of the shortest time limit. */
const copyAgeFraction = 0.2;

/** Age at which an instance that is no reader reads the store, or a reader copies from a peer; the same fraction. */
const maxAgeFraction = 0.6;

/** Ranks the instances; those that are first in their failure domain precede all that are second there, and so on. */
function rankReaders(instances: readonly Pick<ReaderCandidate, "name" | "failureDomain">[]): readonly string[] {
    const scored = instances.map(instance => ({ ...instance, score: scoreRendezvous(readerKey, instance.name) }))
        .toSorted((left, right) => (left.score < right.score ? 1 : -1));
    const places = new Map<string, number>();
    const ranked = scored.map(({ name, failureDomain }) => {
        const place = places.get(failureDomain) ?? 0;
        places.set(failureDomain, place + 1);
        return { name, place };
    });
    return ranked.toSorted((left, right) => left.place - right.place).map(one => one.name);
}

/** The readers that an instance prefers: each has its own order, so that the readers share the load of being copied. */
function orderReaders(self: string, readers: readonly string[]): readonly string[] {
    const key = hashText(self);
    return readers.filter(name => name !== self)
        .map(name => ({ name, score: scoreRendezvous(key, name) }))
        .toSorted((left, right) => (left.score < right.score ? 1 : -1))
        .map(one => one.name);
}

/**
 * Plans the reads of an instance.
 *
 * @param self - The instance.
 * @param others - The other live instances.
 * @param limits - The time limits.
 * @returns The plan.
 * @example
 * planStoreReads(self, [], { drainMs: 2_000, configMs: 2_000, reconnectLimitMs: 3_000 }).isReader; // true
 */
export function planStoreReads(
    self: Omit<ReaderCandidate, "state">,
    others: readonly ReaderCandidate[],
    limits: FreshnessLimits,
): StoreReadPlan {
    const shortestMs = Math.min(limits.drainMs, limits.configMs);
    const copyAgeMs = shortestMs * copyAgeFraction;
    const maxAgeMs = shortestMs * maxAgeFraction;
    const instances = [self, ...others.filter(one => one.state === "serving")];
    const isShared = instances.length > maxAllReaders;
    const readerCount = Math.max(minReaders, Math.ceil(instances.length / instancesPerReader));
    const readers = isShared ? rankReaders(instances).slice(0, readerCount) : [];
    const isReader = !isShared || readers.includes(self.name);
    const ownPlan = {
        operatorWaitMs: computeLongPollMs(limits.reconnectLimitMs),
        upstreamsIntervalMs: limits.drainMs * ownReadFraction,
    };
    const sharedPlan = {
        operatorWaitMs: Math.min(
            shortestMs * sharedWaitFraction,
            computeLongPollMs(limits.reconnectLimitMs - copyAgeMs),
        ),
        upstreamsIntervalMs: limits.drainMs * sharedReadFraction,
    };
    return {
        ...(isShared ? sharedPlan : ownPlan),
        isReader,
        copyAgeMs: isReader ? maxAgeMs : copyAgeMs,
        maxAgeMs,
        readers: orderReaders(self.name, readers),
    };
}
