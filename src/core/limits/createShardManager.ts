/**
 * @module
 * Manages this instance's quota shards: follows the ledger, plans records, and sets which shards each customer's quota
 * may use.
 */
import { createShardHoldings, parseShardName, type ShardOwner } from "./createShardHoldings.js";
import {
    createShardStandby,
    createShardTransfer,
    endShardUse,
    type ReadUseEndTimes,
    type ShardStandby,
    type ShardTransfer,
} from "./createShardStandby.js";
import { emptyShardLedger, maxStandbys, type Shard, type ShardLedger } from "./foldShardRecord.js";
import { clockDriftFactor, grantLifetimeMs, maxBorrowedRequestMs, shardLeaseMs } from "./limitConstants.js";
import { listShardNames } from "./listShardNames.js";
import { lacksStandbys, planShardEdits } from "./planShardEdits.js";
import type { HeldShard } from "./quotaTypes.js";

/** The manager of an instance's shards. */
export interface ShardManager {
    readonly ledger: () => ShardLedger;
    /** Replaces the ledger by a newer one, read from the log or received from a peer. */
    readonly adopt: (ledger: ShardLedger) => void;
    /** The next record to append; undefined when nothing has to change or a record is pending. */
    readonly planRecord: () => string | undefined;
    /** Whether nothing has to change and every held shard has as many standbys as the living instances allow. */
    readonly isSettled: () => boolean;
    /** Records the outcome of the record that was planned last; the next one may be planned then. */
    readonly recordOutcome: (outcome: RecordOutcome) => void;
    /** Ends the use of every shard, once no request runs any more. */
    readonly endUse: () => readonly EndedShard[];
    /** The record that releases shards whose use has ended; undefined without shards. */
    readonly createReleaseRecord: (shards: readonly EndedShard[]) => string | undefined;
    /** Other instances that lend quota of a customer. */
    readonly listLenders: (customer: string) => readonly string[];
    readonly standby: ShardStandby;
}

/** Outcome of a record: folded into the ledger, not appended, or lost, in which case it may be in the log. */
export type RecordOutcome = "folded" | "notAppended" | "lost";

/** A shard whose use has ended before its lease expired. */
export interface EndedShard {
    readonly name: string;
    readonly revision: number;
    readonly owner: ShardOwner;
    /** Instances that may hold the shard for its owner; none when a record about the shard may be in the log. */
    readonly standbys: readonly string[];
    /** Creates the transfer to a standby; the remaining times are computed at the call. */
    readonly createTransfer: () => ShardTransfer;
}

/** What the manager needs. */
export interface ShardManagerDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly instance: string;
    /** Identity of this run of the process. */
    readonly incarnation: string;
    readonly listServed: () => readonly string[];
    readonly countAlive: () => number;
    /** Whether an instance is considered alive; a wrong answer only lowers utilisation. */
    readonly isAlive: (instance: string) => boolean;
    /** Other instances, in order of preference as standbys for this one's shards. */
    readonly rankStandbys: () => readonly string[];
    readonly canRelease: (customer: string) => boolean;
    readonly readUseEndTimes: ReadUseEndTimes;
    /** Instances that borrow quota of a customer from this one. */
    readonly listBorrowers: (customer: string) => readonly string[];
    readonly setShards: (customer: string, shards: readonly HeldShard[]) => void;
}

/**
 * Creates the manager. The lease of a shard runs from before the record was sent, so that it expires for the holder
 * before any other instance may claim the shard.
 *
 * @param dependencies - The clock, this instance and its quotas.
 * @returns The manager.
 * @example
 * createShardManager(dependencies).planRecord();
 */
export function createShardManager(dependencies: ShardManagerDependencies): ShardManager {
    const { now, instance, incarnation } = dependencies;
    const self: ShardOwner = { instance, incarnation };
    const startedMs = now();
    const revisionSeenMs = new Map<string, number>();
    const holdings = createShardHoldings(dependencies.setShards);
    const inherited = new Set<string>();
    let ledger = emptyShardLedger;
    /** Shards that the pending record edits; `uncertain` has those of lost records, which may be in the log. */
    let pendingNames: readonly string[] = [];
    let isPending = false;
    const uncertain = new Set<string>();
    const { readUseEndTimes } = dependencies;
    const standby = createShardStandby({ now, self, holdings, inherited, readUseEndTimes, ledger: () => ledger });

    function claimShard(name: string, before: Shard | undefined, after: Shard): void {
        const known = holdings.shards.get(name);
        const { revision, sentMs: renewedMs } = after;
        const untilMs = renewedMs + shardLeaseMs;
        if (known !== undefined && !known.isStandby) {
            holdings.set(name, { ...known, renewedMs, untilMs, revision });
            return;
        }
        // An earlier process of this instance had ended before this one started, but a standby may have held its shard.
        const isOwnBefore = before?.instance === instance && before.standbys.length === 0;
        const endedMs = isOwnBefore ? startedMs : now();
        holdings.set(name, {
            index: parseShardName(name).index,
            renewedMs,
            untilMs,
            revision,
            owner: self,
            isTakenOver: before !== undefined,
            isStandby: false,
            lentEndMs: endedMs + grantLifetimeMs * clockDriftFactor,
            inFlightEndMs: endedMs + (grantLifetimeMs + maxBorrowedRequestMs) * clockDriftFactor,
        });
    }

    function recordChange(name: string, before: Shard | undefined, after: Shard): void {
        revisionSeenMs.set(name, now());
        inherited.delete(name);
        uncertain.delete(name);
        if (after.isHeld && after.instance === instance && after.incarnation === incarnation) {
            claimShard(name, before, after);
            return;
        }
        if (after.isHeld && after.instance === instance) {
            inherited.add(name);
        }
        holdings.endUse([name]);
    }

    function replaceLedger(next: ShardLedger): void {
        const before = ledger;
        ledger = next;
        for (const [name, shard] of next.shards) {
            const earlier = before.shards.get(name);
            if (earlier?.revision !== shard.revision) {
                recordChange(name, earlier, shard);
            }
        }
    }

    function serialize(edits: ReturnType<typeof planShardEdits>): string | undefined {
        if (edits.length === 0) {
            return undefined;
        }
        isPending = true;
        pendingNames = edits.map(edit => edit.seat);
        const standbys = dependencies.rankStandbys().slice(0, maxStandbys);
        return JSON.stringify({ instance, incarnation, sentMs: now(), standbys, edits });
    }

    function planEdits(): ReturnType<typeof planShardEdits> {
        return planShardEdits({
            nowMs: now(),
            instance,
            incarnation,
            ledger,
            revisionSeenMs: name => revisionSeenMs.get(name) ?? startedMs,
            own: holdings.shards,
            inherited: new Set([...inherited].filter(standby.isCleared)),
            standbys: dependencies.rankStandbys(),
            served: dependencies.listServed(),
            aliveCount: dependencies.countAlive(),
            canRelease: dependencies.canRelease,
            listBorrowers: dependencies.listBorrowers,
        });
    }

    function planRecord(): string | undefined {
        if (isPending) {
            return undefined;
        }
        const edits = planEdits();
        holdings.endUse(edits.filter(edit => !edit.isHeld).map(edit => edit.seat));
        return serialize(edits);
    }

    function isSettled(): boolean {
        const living = [...dependencies.rankStandbys(), instance];
        const needsStandbys = ({ isHeld, instance: holder, standbys }: Shard) =>
            isHeld && lacksStandbys(standbys, living.filter(one => one !== holder));
        return !isPending && planEdits().length === 0 && ![...ledger.shards.values()].some(needsStandbys);
    }

    function recordOutcome(outcome: RecordOutcome): void {
        if (outcome === "lost") {
            pendingNames.forEach(name => uncertain.add(name));
        }
        isPending = false;
        pendingNames = [];
    }

    /** A standby that shuts down as well hands a shard that it holds for another instance over to the other standby. */
    function listOtherStandbys(name: string): readonly string[] {
        return (ledger.shards.get(name)?.standbys ?? []).filter(candidate => candidate !== instance);
    }

    function endUse(): readonly EndedShard[] {
        const ended = [...holdings.shards].map(([name, shard]): EndedShard => {
            const isUncertain = uncertain.has(name) || pendingNames.includes(name);
            const endedUse = endShardUse(name, shard, readUseEndTimes);
            return {
                name,
                revision: shard.revision,
                owner: shard.owner,
                standbys: isUncertain ? [] : listOtherStandbys(name),
                createTransfer: () => createShardTransfer(endedUse, now()),
            };
        });
        holdings.endUse(ended.map(shard => shard.name));
        return ended;
    }

    /** Quota of a shard whose holder is not alive is lent by the standby that holds it meanwhile. */
    function listLenders(customer: string): readonly string[] {
        const held = listShardNames(customer).flatMap(name => ledger.shards.get(name) ?? []).filter(shard =>
            shard.isHeld
        );
        const lenders = held.flatMap(shard => dependencies.isAlive(shard.instance) ? [shard.instance] : shard.standbys);
        return [...new Set(lenders)].filter(lender => lender !== instance);
    }

    return {
        ledger: () => ledger,
        adopt: other => {
            if (other.nextOffset > ledger.nextOffset) {
                replaceLedger(other);
            }
        },
        planRecord,
        isSettled,
        recordOutcome,
        endUse,
        createReleaseRecord: shards =>
            serialize(shards.map(({ name, revision }) => ({ seat: name, basedOn: revision, isHeld: false }))),
        listLenders,
        standby,
    };
}
