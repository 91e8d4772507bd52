/**
 * @module
 * One customer's token buckets on one instance: held shards, lent grants and borrowed grants determine rate and burst.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { millisecondsPerSecond } from "../constants.js";
import { clockDriftFactor } from "./limitConstants.js";
import { combineAmounts, getRates, sumShards, zeroAmounts } from "./quotaMath.js";
import type { Amounts, HeldShard } from "./quotaTypes.js";

/** A fraction of the limits that is lent or borrowed until an expiry time. */
export interface RateGrant {
    readonly fraction: number;
    readonly untilMs: number;
}

/** The token buckets of one customer on one instance. */
export interface RateBuckets {
    /** Refills the buckets up to the present. Every call that depends on the levels does so first. */
    readonly refill: () => void;
    readonly setShards: (shards: readonly HeldShard[]) => void;
    /** Sets, renews or (undefined) removes the grant to a borrower. */
    readonly setLent: (borrower: string, grant: RateGrant | undefined) => void;
    /** Sets, renews or (undefined) removes the grant from a lender. */
    readonly setBorrowed: (lender: string, grant: RateGrant | undefined) => void;
    readonly findLent: (borrower: string) => RateGrant | undefined;
    readonly findBorrowed: (lender: string) => RateGrant | undefined;
    /** Time at which every grant to a borrower has expired, in milliseconds. */
    readonly lentEndMs: () => number;
    /** Borrowers whose grants are in force. */
    readonly listBorrowers: () => readonly string[];
    /** Fraction of the limits that may be spent now. */
    readonly fraction: () => number;
    /** Fraction of the limits that could be lent in addition to what is lent already. */
    readonly lendableFraction: () => number;
    readonly level: () => Amounts;
    /** Maximum level at the fraction that is held now. */
    readonly capacity: () => Amounts;
    /** Adds amounts to the buckets, up to their capacity; negative amounts are subtracted. */
    readonly credit: (amounts: Amounts) => void;
}

/** What token buckets depend on. */
export interface RateBucketsDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly limits: () => CustomerLimits;
}

function sumGrants(grants: ReadonlyMap<string, RateGrant>, nowMs: number): number {
    let sum = 0;
    for (const grant of grants.values()) {
        sum += nowMs < grant.untilMs ? grant.fraction : 0;
    }
    return sum;
}

function dropExpired(grants: Map<string, RateGrant>, nowMs: number): void {
    for (const [peer, grant] of grants) {
        if (grant.untilMs <= nowMs) {
            grants.delete(peer);
        }
    }
}

/**
 * Creates empty buckets. Refill is integrated piecewise between the times at which a shard or a grant begins or ends,
 * and clipped at each of them, so that no instance ever counts a part of the limits that another one may spend.
 *
 * @param dependencies - The clock and the limits in force.
 * @returns The buckets.
 * @example
 * createRateBuckets({ now: clock.now, limits: () => customer.limits }).level().requests; // 0
 */
export function createRateBuckets(dependencies: RateBucketsDependencies): RateBuckets {
    const lentGrants = new Map<string, RateGrant>();
    const borrowedGrants = new Map<string, RateGrant>();
    let shards: readonly HeldShard[] = [];
    let level = zeroAmounts;
    let refilledMs = dependencies.now();

    function computeFraction(atMs: number): number {
        return Math.max(
            0,
            sumShards(shards, atMs).fraction - sumGrants(lentGrants, atMs) + sumGrants(borrowedGrants, atMs),
        );
    }

    function computeCapacity(atMs: number): Amounts {
        const { burstSeconds } = dependencies.limits();
        const scale = computeFraction(atMs) * burstSeconds;
        return combineAmounts(getRates(dependencies.limits()), zeroAmounts, rate => rate * scale);
    }

    function clip(atMs: number): void {
        level = combineAmounts(level, computeCapacity(atMs), Math.min);
    }

    function listChanges(untilMs: number): readonly number[] {
        const times = [
            ...shards.flatMap(shard => [shard.untilMs, shard.lentEndMs]),
            ...[...lentGrants.values(), ...borrowedGrants.values()].map(grant => grant.untilMs),
        ];
        return [
            ...times.filter(time => time > refilledMs && time < untilMs).sort((left, right) => left - right),
            untilMs,
        ];
    }

    function refill(): void {
        const nowMs = dependencies.now();
        if (nowMs <= refilledMs) {
            return;
        }
        const rates = getRates(dependencies.limits());
        for (const changeMs of listChanges(nowMs)) {
            const seconds = (changeMs - refilledMs) / millisecondsPerSecond / clockDriftFactor;
            const gain = computeFraction(refilledMs) * seconds;
            level = combineAmounts(level, rates, (have, rate) => have + rate * gain);
            clip(refilledMs);
            refilledMs = changeMs;
            clip(changeMs);
        }
        dropExpired(lentGrants, nowMs);
        dropExpired(borrowedGrants, nowMs);
    }

    function setGrant(grants: Map<string, RateGrant>, peer: string, grant: RateGrant | undefined): void {
        refill();
        if (grant === undefined || grant.fraction <= 0) {
            grants.delete(peer);
        }
        else {
            grants.set(peer, grant);
        }
        clip(refilledMs);
    }

    return {
        refill,
        setShards: next => {
            refill();
            shards = next;
            clip(refilledMs);
        },
        setLent: (borrower, grant) => setGrant(lentGrants, borrower, grant),
        setBorrowed: (lender, grant) => setGrant(borrowedGrants, lender, grant),
        findLent: borrower => lentGrants.get(borrower),
        findBorrowed: lender => borrowedGrants.get(lender),
        lentEndMs: () => Math.max(dependencies.now(), ...[...lentGrants.values()].map(grant => grant.untilMs)),
        listBorrowers: () => {
            refill();
            return [...lentGrants.keys()];
        },
        fraction: () => {
            refill();
            return computeFraction(refilledMs);
        },
        lendableFraction: () => {
            refill();
            return Math.max(0, sumShards(shards, refilledMs).lendable - sumGrants(lentGrants, refilledMs));
        },
        level: () => {
            refill();
            return level;
        },
        capacity: () => {
            refill();
            return computeCapacity(refilledMs);
        },
        credit: amounts => {
            refill();
            level = combineAmounts(level, amounts, (have, more) => have + more);
            clip(refilledMs);
        },
    };
}
