/**
 * @module
 * Arithmetic on amounts and on the parts of a customer's limits that an instance holds.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { lendablePermitFraction, lendableRateFraction, shardsPerCustomer } from "./limitConstants.js";
import type { Amounts, HeldSeat } from "./shareTypes.js";

/** Every dimension that is bounded by a rate. */
export const rateDimensions = ["requests", "promptTokens", "outputTokens"] as const;

/** No amount. */
export const noAmounts: Amounts = { requests: 0, promptTokens: 0, outputTokens: 0 };

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
 * Reads the rates of a customer's limits.
 *
 * @param limits - The customer's limits.
 * @returns Amounts a second.
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
 * Counts the permits for requests in flight that belong to one seat.
 *
 * @param requestsInFlight - The customer's limit.
 * @param index - Number of the seat.
 * @returns Whole permits; over all seats they add up to the limit.
 * @example
 * countSeatPermits(9, 0); // 2
 */
export function countSeatPermits(requestsInFlight: number, index: number): number {
    const rest = requestsInFlight % shardsPerCustomer;
    return Math.floor(requestsInFlight / shardsPerCustomer) + (index < rest ? 1 : 0);
}

/**
 * Counts the permits of a seat that may be lent.
 *
 * @param requestsInFlight - The customer's limit.
 * @param index - Number of the seat.
 * @returns Whole permits.
 * @example
 * countLendablePermits(16, 0); // 1
 */
export function countLendablePermits(requestsInFlight: number, index: number): number {
    return Math.floor(countSeatPermits(requestsInFlight, index) * lendablePermitFraction);
}

/**
 * Adds up the fraction of the limits that seats give at a time.
 *
 * @param seats - The held seats.
 * @param nowMs - The time, in milliseconds.
 * @returns The whole fraction, and the part of it that may be lent.
 * @example
 * sumSeats(seats, clock.now()).fraction;
 */
export function sumSeats(
    seats: readonly HeldSeat[],
    nowMs: number,
): { readonly fraction: number; readonly lendable: number; } {
    let full = 0;
    let reserved = 0;
    for (const seat of seats) {
        if (nowMs < seat.untilMs) {
            const mayBeLentByPredecessor = seat.isTakenOver && nowMs < seat.loansEndedMs;
            full += mayBeLentByPredecessor ? 0 : 1;
            reserved += mayBeLentByPredecessor ? 1 : 0;
        }
    }
    return {
        fraction: (full + reserved * (1 - lendableRateFraction)) / shardsPerCustomer,
        lendable: (full * lendableRateFraction) / shardsPerCustomer,
    };
}
