/**
 * @module
 * What a request counts as in its customer's quota.
 */
import { millisecondsPerSecond } from "../constants.js";
import type { CustomerQuota, QuotaBounds } from "./quotaTypes.js";

/**
 * Computes what a request counts as. No request counts as more than a window allows, so that an absurd token count does not shut its
 * customer out for longer.
 *
 * @param quota - The customer's quota.
 * @param tokenCount - Prompt and maximum output tokens of the request; undefined when it states none.
 * @param bounds - How far the fleet may pass a quota.
 * @returns The cost in the quota's unit.
 * @example
 * computeRequestCost({ unit: "tokens", ratePerSecond: 1_000, burst: 1_000, plainTokens: 200 }, undefined, bounds); // 200
 */
export function computeRequestCost(
    { unit, ratePerSecond, burst, plainTokens }: CustomerQuota,
    tokenCount: number | undefined,
    { windowMs }: QuotaBounds,
): number {
    if (unit === "requests") {
        return 1;
    }
    const maxCost = ratePerSecond * windowMs / millisecondsPerSecond + burst;
    return Math.min(maxCost, tokenCount ?? plainTokens);
}
