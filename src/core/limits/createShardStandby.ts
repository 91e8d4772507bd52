/**
 * @module
 * Standby ownership of quota shards while the log cannot be written: a process that shuts down hands its shards over to
 * a standby that the ledger names, and the next process of its instance reclaims them before it uses any of them.
 */
import { parseShardName, type ShardHoldings, type ShardOwner, type UsableShard } from "./createShardHoldings.js";
import type { ShardLedger } from "./foldShardRecord.js";
import { clockDriftFactor, shardLeaseMs } from "./limitConstants.js";

/** A clock reading of one process. */
export interface StandbyClock {
    readonly incarnation: string;
    /** Reading of the process's clock, in milliseconds. */
    readonly nowMs: number;
}

/** A shard that is handed over. */
export interface ShardTransfer {
    /** Name of the shard. */
    readonly seat: string;
    readonly revision: number;
    /** Remaining time for which the shard may be used, in milliseconds. */
    readonly restMs: number;
    /** Remaining time in which quota that was lent from the shard may still be used, in milliseconds. */
    readonly loansRestMs: number;
    /** Remaining time in which requests on permits lent from the shard may still run, in milliseconds. */
    readonly flightsRestMs: number;
}

/** Shards that a process hands over to a standby as it shuts down. */
export interface ShardHandover {
    /** The standby's clock, read before `restMs` was computed; the remaining time counts from this reading. */
    readonly receiverClock: StandbyClock;
    readonly owner: ShardOwner;
    /** The shards that are handed over. */
    readonly seats: readonly ShardTransfer[];
}

/** Standby ownership on one instance, as standby of others and as the instance that reclaims its shards. */
export interface ShardStandby {
    readonly readClock: () => StandbyClock;
    /** Accepts the shards of a process that shuts down; false when they must not be used here. */
    readonly accept: (handover: ShardHandover) => boolean;
    /** Returns the shards held for an instance, and accepts nothing more from its earlier processes. */
    readonly returnShards: (claimant: ShardOwner) => readonly ShardTransfer[];
    /** Standbys that have not answered yet and must do so before inherited shards may be used. */
    readonly listUnanswered: () => readonly string[];
    /** Records a standby's answer to a query that was sent at `sentMs`. */
    readonly recordAnswer: (standby: string, sentMs: number, transfers: readonly ShardTransfer[]) => void;
    /** Whether no standby can use an inherited shard any more. */
    readonly isCleared: (shard: string) => boolean;
}

/** Upper bounds on the end of an instance's use of a customer's shards, in milliseconds on its clock. */
export interface UseEndTimes {
    /** When all quota that the instance has lent has expired. */
    readonly grantsEndMs: number;
    /** When all requests have ended, on lent permits and on the instance's own. */
    readonly inFlightEndMs: number;
}

/** Reads by when the use of a customer's shards has ended if nothing more is lent or started from now on. */
export type ReadUseEndTimes = (customer: string) => UseEndTimes;

/** What standby ownership needs. */
export interface ShardStandbyDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly self: ShardOwner;
    readonly ledger: () => ShardLedger;
    readonly holdings: ShardHoldings;
    readonly readUseEndTimes: ReadUseEndTimes;
    /** Shards that an earlier process of this instance holds on the ledger. */
    readonly inherited: ReadonlySet<string>;
}

/** The latest process of an instance to reclaim its shards, and the shards that were returned to it. */
interface Claimant {
    readonly incarnation: string;
    readonly shards: readonly EndedUse[];
}

/** A shard whose use has ended here before its lease expired; times are on this instance's clock. */
export interface EndedUse {
    readonly name: string;
    readonly revision: number;
    readonly untilMs: number;
    readonly endTimes: UseEndTimes;
}

/**
 * Collects what the next user of a shard has to know when its use ends here.
 *
 * @param name - Name of the shard.
 * @param shard - The shard as it was used.
 * @param readUseEndTimes - Reads by when lent quota and running requests have ended.
 * @returns The ended use.
 * @example
 * endShardUse("town-hall/0", shard, readUseEndTimes).endTimes.grantsEndMs;
 */
export function endShardUse(name: string, shard: UsableShard, readUseEndTimes: ReadUseEndTimes): EndedUse {
    const { grantsEndMs, inFlightEndMs } = readUseEndTimes(parseShardName(name).customer);
    const before = shard.isTakenOver ? shard : { lentEndMs: 0, inFlightEndMs: 0 };
    const endTimes = {
        grantsEndMs: Math.max(grantsEndMs, before.lentEndMs),
        inFlightEndMs: Math.max(inFlightEndMs, before.inFlightEndMs),
    };
    return { name, revision: shard.revision, untilMs: shard.untilMs, endTimes };
}

/**
 * Converts times on this instance's clock to remaining times, for a process with another clock.
 *
 * @param ended - The ended use.
 * @param nowMs - This instance's clock, in milliseconds.
 * @returns The shard as it is handed over.
 * @example
 * createShardTransfer(ended, clock.now()).restMs;
 */
export function createShardTransfer(ended: EndedUse, nowMs: number): ShardTransfer {
    const { name, revision, untilMs, endTimes } = ended;
    return {
        seat: name,
        revision,
        restMs: Math.max(0, untilMs - nowMs),
        loansRestMs: Math.max(0, endTimes.grantsEndMs - nowMs),
        flightsRestMs: Math.max(0, endTimes.inFlightEndMs - nowMs),
    };
}

/**
 * Creates the standby ownership of an instance.
 *
 * A shard is used by one process at a time: the owner ends its use before the handover, the remaining time of the lease
 * counts from before the handover, and a standby that the next process has queried rejects a late handover.
 *
 * @param dependencies - The clock, the ledger and the usable shards.
 * @returns The standby ownership.
 * @example
 * createShardStandby(dependencies).isCleared("town-hall/0");
 */
export function createShardStandby(dependencies: ShardStandbyDependencies): ShardStandby {
    const { now, self, holdings } = dependencies;
    const claimants = new Map<string, Claimant>();
    const answered = new Set<string>();

    function listStandbys(shard: string): readonly string[] {
        const standbys = dependencies.ledger().shards.get(shard)?.standbys ?? [];
        return standbys.filter(standby => standby !== self.instance);
    }

    function createUsable(transfer: ShardTransfer, fromMs: number, owner: ShardOwner): UsableShard {
        const untilMs = fromMs + Math.min(shardLeaseMs, transfer.restMs) / clockDriftFactor;
        return {
            index: parseShardName(transfer.seat).index,
            untilMs,
            renewedMs: untilMs - shardLeaseMs,
            revision: transfer.revision,
            owner,
            isTakenOver: true,
            isStandby: owner.instance !== self.instance,
            lentEndMs: now() + transfer.loansRestMs * clockDriftFactor,
            inFlightEndMs: now() + transfer.flightsRestMs * clockDriftFactor,
        };
    }

    /** A shard whose revision has changed no longer belongs to the process that hands it over. */
    function isCurrent(transfer: ShardTransfer): boolean {
        const known = dependencies.ledger().shards.get(transfer.seat);
        return known !== undefined && known.revision === transfer.revision;
    }

    function accept(handover: ShardHandover): boolean {
        const { owner, receiverClock } = handover;
        const claimant = claimants.get(owner.instance)?.incarnation;
        const isLate = claimant !== undefined && claimant !== owner.incarnation;
        if (isLate || receiverClock.incarnation !== self.incarnation || owner.instance === self.instance) {
            return false;
        }
        handover.seats.filter(isCurrent)
            .forEach(current => holdings.set(current.seat, createUsable(current, receiverClock.nowMs, owner)));
        return true;
    }

    function endUseFor(instance: string): Claimant["shards"] {
        const kept = [...holdings.shards].filter(([, shard]) => shard.isStandby && shard.owner.instance === instance);
        holdings.endUse(kept.map(([name]) => name));
        return kept.map(([name, shard]) => endShardUse(name, shard, dependencies.readUseEndTimes));
    }

    /** A repeated query gets the same shards, since the first answer may have been lost. */
    function returnShards(owner: ShardOwner): readonly ShardTransfer[] {
        const { instance, incarnation } = owner;
        const known = claimants.get(instance);
        const claimant = known?.incarnation === incarnation ? known : { incarnation, shards: endUseFor(instance) };
        claimants.set(instance, claimant);
        return claimant.shards.map(shard => createShardTransfer(shard, now()));
    }

    function recordAnswer(standby: string, sentMs: number, transfers: readonly ShardTransfer[]): void {
        answered.add(standby);
        for (const transfer of transfers) {
            if (isCurrent(transfer) && dependencies.inherited.has(transfer.seat)) {
                holdings.set(transfer.seat, createUsable(transfer, sentMs, self));
            }
        }
    }

    return {
        readClock: () => ({ incarnation: self.incarnation, nowMs: now() }),
        accept,
        returnShards,
        listUnanswered: () => {
            const standbys = new Set([...dependencies.inherited].flatMap(listStandbys));
            return [...standbys].filter(standby => !answered.has(standby));
        },
        recordAnswer,
        isCleared: shard => listStandbys(shard).every(standby => answered.has(standby)),
    };
}
