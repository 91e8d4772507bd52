/**
 * @module
 * A token bucket whose rate may change.
 */
import { millisecondsPerSecond } from "../constants.js";
import { burstMs } from "./permitTimes.js";

/** A token bucket. Rates are tokens per second, times milliseconds on the instance's clock. */
export interface TokenBucket {
    /** Adds what has accrued at a rate; more than a burst is not kept. */
    readonly refill: (rate: number, nowMs: number) => void;
    /** Whole tokens that can be taken. */
    readonly countWhole: () => number;
    readonly take: (tokens: number) => void;
    /** Puts tokens back that were taken and not used; more than a burst is not kept. */
    readonly putBack: (tokens: number, rate: number) => void;
    /** Time until the given number of tokens is there, in milliseconds. */
    readonly waitMs: (tokens: number, rate: number) => number;
}

function computeBurst(rate: number): number {
    return 1 + rate * burstMs / millisecondsPerSecond;
}

/**
 * Creates a bucket.
 *
 * @param sinceMs - Time from which tokens accrue; they are added by the first refill.
 * @returns The bucket.
 * @example
 * const bucket = createTokenBucket(0);
 * bucket.refill(2, 500);
 * bucket.countWhole(); // 1
 */
export function createTokenBucket(sinceMs: number): TokenBucket {
    let level = 0;
    let refilledMs = sinceMs;

    return {
        refill: (rate, nowMs) => {
            const accrued = rate * Math.max(0, nowMs - refilledMs) / millisecondsPerSecond;
            level = Math.min(computeBurst(rate), level + accrued);
            refilledMs = nowMs;
        },
        // A sum of many fractions may fall short of a whole token by a rounding error.
        countWhole: () => Math.floor(level + Number.EPSILON * millisecondsPerSecond),
        take: tokens => {
            level -= tokens;
        },
        putBack: (tokens, rate) => {
            level = Math.min(computeBurst(rate), level + tokens);
        },
        waitMs: (tokens, rate) => Math.max(0, (tokens - level) * millisecondsPerSecond / rate),
    };
}
