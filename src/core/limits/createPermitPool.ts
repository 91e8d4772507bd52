/**
 * @module
 * One customer's concurrency permits on one instance: permits of held shards, less those lent, and borrowed permits. A
 * request keeps its permit until it has ended, so a lender counts a lent permit as used until the borrower returns it
 * or until every request on it has certainly passed its deadline.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { maxBorrowedRequestMs } from "./limitConstants.js";
import { countLendablePermits, countShardPermits } from "./quotaMath.js";
import type { HeldShard } from "./quotaTypes.js";

/** A permit that a request holds: one of the instance's own shards, or one of the named lender. */
export interface Permit {
    readonly lender: string | undefined;
}

/** Permits that are lent or borrowed until an expiry time. */
export interface PermitGrant {
    readonly permits: number;
    readonly untilMs: number;
}

/** The permits of one customer on one instance. */
export interface PermitPool {
    readonly setShards: (shards: readonly HeldShard[]) => void;
    readonly setLent: (borrower: string, grant: PermitGrant | undefined) => void;
    readonly setBorrowed: (lender: string, grant: PermitGrant | undefined) => void;
    readonly findLent: (borrower: string) => PermitGrant | undefined;
    readonly findBorrowed: (lender: string) => PermitGrant | undefined;
    /** Acquires a permit for a request with a deadline; undefined when none is free. */
    readonly tryAcquire: (deadlineMs: number) => Permit | undefined;
    readonly release: (permit: Permit) => void;
    /** Number of requests that run on permits of one lender. */
    readonly countBorrowedInUse: (lender: string) => number;
    readonly inFlight: () => number;
    /** Time at which every request on the pool's own permits, including lent ones, has certainly ended. */
    readonly ownInFlightEndMs: () => number;
    /** Number of permits that are free now, own and borrowed. */
    readonly countFree: () => number;
    /** Number of permits that could be lent in addition to those lent already. */
    readonly countLendable: () => number;
}

/** What a permit pool depends on. */
export interface PermitPoolDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly limits: () => CustomerLimits;
}

function sumPermits(grants: ReadonlyMap<string, PermitGrant>, nowMs: number): number {
    let sum = 0;
    for (const grant of grants.values()) {
        sum += nowMs < grant.untilMs ? grant.permits : 0;
    }
    return sum;
}

/**
 * Creates a pool without shards.
 *
 * @param dependencies - The clock and the limits in force.
 * @returns The pool.
 * @example
 * createPermitPool({ now: clock.now, limits: () => customer.limits }).countFree(); // 0
 */
export function createPermitPool(dependencies: PermitPoolDependencies): PermitPool {
    const lentGrants = new Map<string, PermitGrant>();
    const borrowedGrants = new Map<string, PermitGrant>();
    const borrowedInUse = new Map<string, number>();
    let shards: readonly HeldShard[] = [];
    let ownInUse = 0;

    function listUsable(deadlineMs: number): readonly HeldShard[] {
        const isShort = deadlineMs - dependencies.now() <= maxBorrowedRequestMs;
        return shards.filter(shard =>
            dependencies.now() < shard.untilMs && deadlineMs <= shard.untilMs && (isShort || !shard.isStandby)
        );
    }

    function countOwn(deadlineMs: number): { readonly permits: number; readonly lendable: number; } {
        const { requestsInFlight } = dependencies.limits();
        let permits = 0;
        let lendable = 0;
        for (const shard of listUsable(deadlineMs)) {
            const lendableOfShard = countLendablePermits(requestsInFlight, shard.index);
            const isPossiblyLent = shard.isTakenOver && dependencies.now() < shard.inFlightEndMs;
            const reserved = countShardPermits(requestsInFlight, shard.index) - lendableOfShard;
            permits += (shard.isStandby ? 0 : reserved) + (isPossiblyLent ? 0 : lendableOfShard);
            lendable += isPossiblyLent ? 0 : lendableOfShard;
        }
        return { permits, lendable };
    }

    const countFreeOwn = (deadlineMs: number) =>
        countOwn(deadlineMs).permits - ownInUse - sumPermits(lentGrants, dependencies.now());

    const countBorrowedInUse = (lender: string) => borrowedInUse.get(lender) ?? 0;

    function countFreeOf(lender: string): number {
        const grant = borrowedGrants.get(lender);
        const isInForce = grant !== undefined && dependencies.now() < grant.untilMs;
        return isInForce ? Math.max(0, grant.permits - countBorrowedInUse(lender)) : 0;
    }

    function findLender(deadlineMs: number): string | undefined {
        if (deadlineMs - dependencies.now() > maxBorrowedRequestMs) {
            return undefined;
        }
        return [...borrowedGrants.keys()].find(lender => countFreeOf(lender) > 0);
    }

    function tryAcquire(deadlineMs: number): Permit | undefined {
        if (countFreeOwn(deadlineMs) > 0) {
            ownInUse += 1;
            return { lender: undefined };
        }
        const lender = findLender(deadlineMs);
        if (lender === undefined) {
            return undefined;
        }
        borrowedInUse.set(lender, countBorrowedInUse(lender) + 1);
        return { lender };
    }

    function release(permit: Permit): void {
        if (permit.lender === undefined) {
            ownInUse -= 1;
            return;
        }
        borrowedInUse.set(permit.lender, countBorrowedInUse(permit.lender) - 1);
    }

    function setGrant(grants: Map<string, PermitGrant>, peer: string, grant: PermitGrant | undefined): void {
        if (grant === undefined) {
            grants.delete(peer);
            return;
        }
        grants.set(peer, grant);
    }

    return {
        setShards: next => {
            shards = next;
        },
        setLent: (borrower, grant) => setGrant(lentGrants, borrower, grant),
        setBorrowed: (lender, grant) => setGrant(borrowedGrants, lender, grant),
        findLent: borrower => lentGrants.get(borrower),
        findBorrowed: lender => borrowedGrants.get(lender),
        tryAcquire,
        release,
        countBorrowedInUse,
        inFlight: () => ownInUse + [...borrowedInUse.values()].reduce((sum, count) => sum + count, 0),
        ownInFlightEndMs: () => {
            const lent = [...lentGrants.values()].filter(grant => grant.permits > 0).map(grant => grant.untilMs);
            const running = ownInUse > 0 ? [dependencies.now() + maxBorrowedRequestMs] : [];
            return Math.max(dependencies.now(), ...lent, ...running);
        },
        countFree: () =>
            Math.max(0, countFreeOwn(dependencies.now()))
            + [...borrowedGrants.keys()].reduce((sum, lender) => sum + countFreeOf(lender), 0),
        countLendable: () => {
            const lent = sumPermits(lentGrants, dependencies.now());
            const own = countOwn(dependencies.now());
            return Math.max(0, Math.min(own.lendable - lent, own.permits - lent - ownInUse));
        },
    };
}
