/**
 * @module
 * Arithmetic on amounts and on the shards of a customer's limits that an instance holds.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { lendablePermitFraction, lendableRateFraction, shardsPerCustomer } from "./limitConstants.js";
import type { Amounts, HeldShard } from "./quotaTypes.js";

/** Every dimension that is limited by rate. */
export const rateDimensions = ["requests", "promptTokens", "outputTokens"] as const;

/** Zero in every dimension. */
export const zeroAmounts: Amounts = { requests: 0, promptTokens: 0, outputTokens: 0 };

/**
 * Combines two amounts dimension by dimension.
 *
 * @param left - First operand.
 * @param right - Second operand.
 * @param combine - Combines the values of one dimension.
 * @returns The combined amounts.
 * @example
 * combineAmounts(level, cost, (have, need) => have - need);
 */
export function combineAmounts(
    left: Amounts,
    right: Amounts,
    combine: (left: number, right: number) => number,
): Amounts {
    return {
        requests: combine(left.requests, right.requests),
        promptTokens: combine(left.promptTokens, right.promptTokens),
        outputTokens: combine(left.outputTokens, right.outputTokens),
    };
}

/**
 * Returns the rates of a customer's limits.
 *
 * @param limits - The customer's limits.
 * @returns Amounts per second.
 * @example
 * getRates(customer.limits).requests;
 */
export function getRates(limits: CustomerLimits): Amounts {
    return {
        requests: limits.requestsPerSecond,
        promptTokens: limits.promptTokensPerSecond,
        outputTokens: limits.outputTokensPerSecond,
    };
}

/**
 * Counts the permits for requests in flight of one shard.
 *
 * @param requestsInFlight - The customer's limit.
 * @param index - Index of the shard.
 * @returns An integer; the permits of all shards add up to the limit.
 * @example
 * countShardPermits(9, 0); // 2
 */
export function countShardPermits(requestsInFlight: number, index: number): number {
    const remainder = requestsInFlight % shardsPerCustomer;
    return Math.floor(requestsInFlight / shardsPerCustomer) + (index < remainder ? 1 : 0);
}

/**
 * Counts the permits of a shard that may be lent.
 *
 * @param requestsInFlight - The customer's limit.
 * @param index - Index of the shard.
 * @returns An integer.
 * @example
 * countLendablePermits(16, 0); // 1
 */
export function countLendablePermits(requestsInFlight: number, index: number): number {
    return Math.floor(countShardPermits(requestsInFlight, index) * lendablePermitFraction);
}

/**
 * Sums the fraction of the limits that shards provide at a time.
 *
 * @param shards - The held shards.
 * @param nowMs - The time, in milliseconds.
 * @returns The total fraction, and the part of it that may be lent.
 * @example
 * sumShards(shards, clock.now()).fraction;
 */
export function sumShards(
    shards: readonly HeldShard[],
    nowMs: number,
): { readonly fraction: number; readonly lendable: number; } {
    let full = 0;
    let reserved = 0;
    for (const shard of shards) {
        if (nowMs < shard.untilMs) {
            const isPossiblyLent = shard.isTakenOver && nowMs < shard.lentEndMs;
            full += isPossiblyLent ? 0 : 1;
            reserved += isPossiblyLent ? 1 : 0;
        }
    }
    return {
        fraction: (full + reserved * (1 - lendableRateFraction)) / shardsPerCustomer,
        lendable: (full * lendableRateFraction) / shardsPerCustomer,
    };
}
