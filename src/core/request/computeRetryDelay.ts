/**
 * @module
 * Exponential backoff with full jitter.
 */

const baseDelayMs = 10;
const maxDelayMs = 250;

/**
 * Computes the delay before a retry; its upper bound doubles with each retry.
 *
 * @param retry - Number of retries before this one.
 * @param random - Returns a number from 0 (included) to 1 (excluded).
 * @returns Delay in milliseconds.
 * @example
 * computeRetryDelay(0, () => 0.5); // 5
 */
export function computeRetryDelay(retry: number, random: () => number): number {
    return Math.min(maxDelayMs, baseDelayMs * 2 ** retry) * random();
}
