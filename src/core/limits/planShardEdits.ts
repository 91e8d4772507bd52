/**
 * @module
 * Plans which quota shards an instance renews, claims and releases. The plan is safe with any view of the fleet: the
 * log decides which edits take effect, and the lease times ensure that two instances never use one shard together.
 */
import { hashText } from "../_lib/hashText.js";
import { maxStandbys, type ShardLedger, type ShardRecord } from "./foldShardRecord.js";
import {
    clockDriftFactor,
    grantLifetimeMs,
    shardLeaseMs,
    shardRenewalIntervalMs,
    shardsPerCustomer,
    standbyRenewalIntervalMs,
} from "./limitConstants.js";
import { listShardNames } from "./listShardNames.js";

/** A shard that this instance uses. */
export interface OwnShard {
    /** Time from which the lease runs, in milliseconds on this instance's clock. */
    readonly renewedMs: number;
}

/** What a plan is based on. */
export interface ShardPlanInput {
    readonly nowMs: number;
    readonly instance: string;
    readonly incarnation: string;
    readonly ledger: ShardLedger;
    /** Time at which this instance first saw a shard at its present revision, in milliseconds. */
    readonly revisionSeenMs: (shard: string) => number;
    /** Shards that this incarnation uses, by name. */
    readonly own: ReadonlyMap<string, OwnShard>;
    /** Shards that an earlier incarnation of this instance holds and that no standby can use. */
    readonly inherited: ReadonlySet<string>;
    /** Other living instances, in order of preference as standbys for this one's shards. */
    readonly standbys: readonly string[];
    /** Customers that this instance serves, or for which it is to hold the shards that nobody holds. */
    readonly served: readonly string[];
    /** Instances that are considered alive, this one included; a wrong count only lowers utilisation. */
    readonly aliveCount: number;
    /** Whether the running requests leave enough free capacity to release one shard of a customer. */
    readonly canRelease: (customer: string) => boolean;
    /** Instances that borrow quota of a customer from this one. */
    readonly listBorrowers: (customer: string) => readonly string[];
}

type ShardEdit = ShardRecord["edits"][number];

/** Milliseconds for which a shard must be free before an instance claims more than its equal part. */
const surplusClaimDelayMs = 3_000;

/** Milliseconds for which a shard is held before it may be released in favour of instances that hold none. */
const surplusReleaseDelayMs = 60_000;

function isHeldBySelf(input: ShardPlanInput, name: string): boolean {
    const state = input.ledger.shards.get(name);
    return state?.isHeld === true && state.instance === input.instance;
}

function isFree(input: ShardPlanInput, name: string): boolean {
    const state = input.ledger.shards.get(name);
    const expiresAfterMs = (shardLeaseMs + grantLifetimeMs) * clockDriftFactor;
    return state === undefined || !state.isHeld || input.nowMs - input.revisionSeenMs(name) > expiresAfterMs;
}

/**
 * Returns whether a held shard has fewer living standbys than it could have.
 *
 * @param named - Standbys of the shard on the ledger.
 * @param living - Other living instances.
 * @returns Whether more of them could be named.
 * @example
 * lacksStandbys([], ["entry-2"]); // true
 */
export function lacksStandbys(named: readonly string[], living: readonly string[]): boolean {
    return named.filter(standby => living.includes(standby)).length < Math.min(maxStandbys, living.length);
}

/** A standby that is briefly unreachable, as during a restart, is not replaced at once. */
function needsNewStandbys(input: ShardPlanInput, name: string, shard: OwnShard): boolean {
    const named = input.ledger.shards.get(name)?.standbys ?? [];
    const isDelayed = named.length >= maxStandbys && input.nowMs - shard.renewedMs < standbyRenewalIntervalMs;
    return !isDelayed && lacksStandbys(named, input.standbys);
}

function planRenewals(input: ShardPlanInput): readonly ShardEdit[] {
    const due = [...input.own]
        .filter(([name, shard]) =>
            input.nowMs - shard.renewedMs >= shardRenewalIntervalMs || needsNewStandbys(input, name, shard)
        )
        .map(([name]) => name);
    return [...new Set([...due, ...input.inherited])].flatMap(shard => {
        const state = input.ledger.shards.get(shard);
        return state !== undefined && isHeldBySelf(input, shard)
            ? [{ seat: shard, basedOn: state.revision, isHeld: true }]
            : [];
    });
}

/** Each instance starts at a different shard, so that claims seldom conflict. */
const rotate = (names: readonly string[], by: number) => [...names.slice(by), ...names.slice(0, by)];

function planClaims(input: ShardPlanInput, customer: string): readonly ShardEdit[] {
    const names = rotate(listShardNames(customer), Number(hashText(input.instance) % BigInt(shardsPerCustomer)));
    const held = names.filter(name => isHeldBySelf(input, name)).length;
    const free = names.filter(name => !isHeldBySelf(input, name) && isFree(input, name));
    const equalPart = Math.ceil(shardsPerCustomer / Math.max(1, input.aliveCount));
    const longFree = free.filter(name => input.nowMs - input.revisionSeenMs(name) >= surplusClaimDelayMs);
    const chosen = held < equalPart ? free.slice(0, equalPart - held) : longFree.slice(0, 1);
    return chosen.map(name => ({ seat: name, basedOn: input.ledger.shards.get(name)?.revision ?? 0, isHeld: true }));
}

function planRelease(input: ShardPlanInput, customer: string): readonly ShardEdit[] {
    const names = listShardNames(customer);
    const own = names.filter(name => input.own.has(name) && isHeldBySelf(input, name));
    const holders = new Set(names.map(name => input.ledger.shards.get(name)?.instance));
    const equalPart = Math.ceil(shardsPerCustomer / Math.max(1, input.aliveCount));
    const isSettled = own.every(name => input.nowMs - input.revisionSeenMs(name) >= surplusReleaseDelayMs);
    const isWanted = input.listBorrowers(customer).some(borrower => !holders.has(borrower));
    const isSurplus = own.length > equalPart && isWanted && !names.some(name => isFree(input, name));
    if (!isSurplus || !isSettled || !input.canRelease(customer)) {
        return [];
    }
    const name = own[own.length - 1]!;
    return [{ seat: name, basedOn: input.ledger.shards.get(name)!.revision, isHeld: false }];
}

/**
 * Plans the next record for the log.
 *
 * @param input - The ledger and this instance's state.
 * @returns The edits; none when nothing has to change.
 * @example
 * planShardEdits(input).filter(edit => edit.isHeld).length;
 */
export function planShardEdits(input: ShardPlanInput): readonly ShardEdit[] {
    const renewals = planRenewals(input);
    const claims = input.served.flatMap(customer => planClaims(input, customer));
    const releases = input.served.flatMap(customer => planRelease(input, customer));
    return [...renewals, ...claims, ...releases];
}
