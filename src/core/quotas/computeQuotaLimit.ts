/**
 * @module
 * The part of a quota that an owner grants.
 */
import type { CustomerQuota, QuotaBounds, QuotaLimit } from "./quotaTypes.js";

/** Share of the slack that buckets may hold; the rest covers changes of owners. */
const heldSlackShare = 0.5;

/**
 * Computes the part of a quota that an owner grants.
 *
 * @param quota - The customer's quota.
 * @param share - The owner's share of it, from 0 to 1.
 * @param bounds - How far the fleet may pass a quota.
 * @returns The part.
 * @example
 * computeQuotaLimit({ unit: "requests", ratePerSecond: 10, burst: 20, plainTokens: 0 }, 0.5, bounds).rate; // 5
 */
export function computeQuotaLimit(quota: CustomerQuota, share: number, bounds: QuotaBounds): QuotaLimit {
    return {
        rate: quota.ratePerSecond * share,
        capacity: (quota.burst + bounds.slack * heldSlackShare) * share,
    };
}
