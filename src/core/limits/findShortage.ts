/**
 * @module
 * Prediction of the wait for a customer's limits.
 */
import { millisecondsPerSecond } from "../constants.js";
import type { RateBuckets } from "./createRateBuckets.js";
import { rateDimensions } from "./quotaMath.js";
import type { Amounts } from "./quotaTypes.js";

/**
 * Tells how long a bucket needs until it covers a cost, at the fraction held now.
 *
 * @param account - The customer's account.
 * @param rates - The customer's limits as rates.
 * @param cost - What has to be covered.
 * @returns Milliseconds and the dimension that is short the longest; 0 and undefined when the cost is covered.
 * @example
 * findShortage(account, getRates(customer.limits), cost).waitMs;
 */
export function findShortage(
    account: Pick<RateBuckets, "level" | "fraction">,
    rates: Amounts,
    cost: Amounts,
): { readonly waitMs: number; readonly dimension: keyof Amounts | undefined; } {
    const level = account.level();
    const fraction = account.fraction();
    let waitMs = 0;
    let dimension: keyof Amounts | undefined;
    for (const one of rateDimensions) {
        const missing = cost[one] - level[one];
        const neededMs = missing <= 0 ? 0 : (missing / (rates[one] * fraction)) * millisecondsPerSecond;
        if (neededMs > waitMs) {
            waitMs = neededMs;
            dimension = one;
        }
    }
    return { waitMs, dimension };
}
