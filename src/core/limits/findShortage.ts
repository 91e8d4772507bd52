/**
 * @module
 * Prediction of the time until a customer's token buckets cover a cost.
 */
import { millisecondsPerSecond } from "../constants.js";
import type { RateBuckets } from "./createRateBuckets.js";
import { rateDimensions } from "./quotaMath.js";
import type { Amounts } from "./quotaTypes.js";

/** What a customer's buckets lack for a cost. */
export interface Shortage {
    /** Milliseconds until the cost is covered. */
    readonly waitMs: number;
    /** Dimension with the longest wait; undefined when the cost is covered already. */
    readonly dimension: keyof Amounts | undefined;
}

/**
 * Predicts how long the buckets take to cover a cost at the fraction that is held now.
 *
 * @param buckets - The customer's buckets.
 * @param rates - The customer's limits as rates.
 * @param cost - The amounts to cover.
 * @returns Milliseconds and the dimension with the longest wait; 0 and undefined when the cost is covered already.
 * @example
 * findShortage(buckets, getRates(customer.limits), cost).waitMs;
 */
export function findShortage(
    buckets: Pick<RateBuckets, "level" | "fraction">,
    rates: Amounts,
    cost: Amounts,
): Shortage {
    const level = buckets.level();
    const fraction = buckets.fraction();
    let waitMs = 0;
    let dimension: keyof Amounts | undefined;
    for (const current of rateDimensions) {
        const missing = cost[current] - level[current];
        const neededMs = missing <= 0 ? 0 : (missing / (rates[current] * fraction)) * millisecondsPerSecond;
        if (neededMs > waitMs) {
            waitMs = neededMs;
            dimension = current;
        }
    }
    return { waitMs, dimension };
}
