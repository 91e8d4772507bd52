/**
 * @module
 * The part of a quota that an owner grants.
 */
import { millisecondsPerSecond } from "../constants.js";
import type { CustomerQuota, QuotaBounds, QuotaLimit } from "./quotaTypes.js";

/** Part of what may pass a quota that owners grant, since no caller inside its quota may be refused; the rest covers their changes. */
const grantedOvershoot = 0.5;

/** Part of it by which requests that exceed a full bucket may overdraw; the rest covers the time that grants are on their way. */
const overdrawnOvershoot = 0.3;

/** Least capacity in requests without a token count: one fits also into half of the shares. */
const minRequests = 2;

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
    const { unit, ratePerSecond, burst, plainTokens } = quota;
    const seconds = bounds.windowMs / millisecondsPerSecond;
    const factor = 1 + bounds.overshootRatio * grantedOvershoot;
    const perWindow = ratePerSecond * seconds + burst;
    const granted = perWindow * factor + bounds.slack * grantedOvershoot;
    const least = Math.min(granted, minRequests * (unit === "requests" ? 1 : plainTokens));
    const capacity = Math.max(burst * factor + bounds.slack * grantedOvershoot, least);
    // A higher capacity lowers the rate: both together are what may be granted in a window.
    const rate = Math.min(ratePerSecond * factor, (granted - capacity) / seconds);
    const debt = (perWindow * bounds.overshootRatio + bounds.slack) * overdrawnOvershoot;
    return { rate: rate * share, capacity: capacity * share, debt: debt * share };
}
