/**
 * @module
 * Pools of customers that have the same owners, so that pledges do not grow with the number of customers.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import { computeQuotaLimit } from "./computeQuotaLimit.js";
import type { CustomerQuota, QuotaBounds, QuotaUnit } from "./quotaTypes.js";

/** Number of pools whose quotas are divided between owners, and of those whose quotas are not. */
const poolsPerKind = 8;

/** Owners of a divided quota: when one fails, the others go on. */
const ownersPerPool = 3;

/** Smallest capacity of a part of a divided quota: a request must fit. */
const minPartCapacity: Readonly<Record<QuotaUnit, number>> = { requests: 8, tokens: 16_384 };

/**
 * Returns the number of owners that a pool has in a fleet that is large enough.
 *
 * @param pool - The pool.
 * @returns The number of owners between which its quotas are divided.
 * @example
 * countOwners(0); // 3
 */
export function countOwners(pool: number): number {
    return pool < poolsPerKind ? ownersPerPool : 1;
}

/**
 * Finds the pool of a customer.
 *
 * @param customer - The customer's name.
 * @param quota - Its quota.
 * @param bounds - How far the fleet may pass a quota.
 * @returns The pool's number.
 * @example
 * findQuotaPool("clinic", quota, bounds); // 3
 */
export function findQuotaPool(customer: string, quota: CustomerQuota, bounds: QuotaBounds): number {
    const { capacity } = computeQuotaLimit(quota, 1 / ownersPerPool, bounds);
    const first = capacity < minPartCapacity[quota.unit] ? poolsPerKind : 0;
    return first + Number(hashText(customer) % BigInt(poolsPerKind));
}

/**
 * Chooses the owners of a pool by rendezvous hashing.
 *
 * @param pool - The pool.
 * @param candidates - Names of the instances that may own it.
 * @returns The owners, the first one first.
 * @example
 * chooseQuotaOwners(3, ["entry-1"]); // ["entry-1"]
 */
export function chooseQuotaOwners(pool: number, candidates: readonly string[]): readonly string[] {
    const key = hashText(`quota ${pool}`);
    return candidates
        .map(name => ({ name, score: scoreRendezvous(key, name) }))
        .toSorted((left, right) => (left.score > right.score ? -1 : 1))
        .slice(0, countOwners(pool))
        .map(({ name }) => name);
}
