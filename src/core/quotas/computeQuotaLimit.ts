/**
 * @module
 * The part of a quota that an owner grants.
 */
import type { CustomerQuota, QuotaBounds, QuotaLimit } from "./quotaTypes.js";

/** Part of what may pass a quota that owners grant, since no caller inside its quota may be refused; the rest covers their changes. */
const grantedOvershoot = 0.5;

/**
 * Computes the part of a quota that an owner grants.
 *
 * @param quota - The customer's quota.
 * @param share - The owner's share of it, from 0 to 1.
 * @param bounds - How far the fleet may pass a quota.
 * @returns The part.
 * @example
 * computeQuotaLimit({ unit: "requests", ratePerSecond: 10, burst: 20, plainTokens: 0 }, 0.5, { windowMs: 8_000, overshootRatio: 0, slack: 0 }).rate; // 5
 */
export function computeQuotaLimit(quota: CustomerQuota, share: number, bounds: QuotaBounds): QuotaLimit {
    const factor = 1 + bounds.overshootRatio * grantedOvershoot;
    return {
        rate: quota.ratePerSecond * factor * share,
        capacity: (quota.burst * factor + bounds.slack * grantedOvershoot) * share,
    };
}
