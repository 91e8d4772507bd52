/**
 * @module
 * The pool of a customer.
 */
import { hashText } from "../_lib/hashText.js";
import { computeQuotaLimit } from "./computeQuotaLimit.js";
import { ownersPerPool, poolsPerKind } from "./quotaPools.js";
import type { CustomerQuota, QuotaBounds, QuotaUnit } from "./quotaTypes.js";

/** Smallest capacity of a part of a divided quota: a request must fit. */
const minPartCapacity: Readonly<Record<QuotaUnit, number>> = { requests: 8, tokens: 16_384 };

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
