/**
 * @module
 * An observation of an upstream's rate limit, and which of two observations counts.
 */

/** What an answer said about its upstream's rate limit. Times are milliseconds on the instance's clock. */
export interface RateLimitObservation {
    /** Undefined when the answer states no limit. */
    readonly requestsPerSecond: number | undefined;
    /** When the request was sent. */
    readonly sentMs: number;
    /** When the head of its answer arrived. */
    readonly receivedMs: number;
    /** Name of the instance that received the answer. */
    readonly source: string;
}

const toRate = ({ requestsPerSecond }: RateLimitObservation) => requestsPerSecond ?? Infinity;

/**
 * Combines what is known with a further observation. An answer to a request that was sent after another answer had arrived is
 * newer. The order of answers that cross is unknown: the lower limit counts.
 *
 * @param known - What is known.
 * @param next - The further observation.
 * @returns What is known then.
 * @example
 * const known = { requestsPerSecond: 2, sentMs: 0, receivedMs: 100, source: "entry-1" };
 * mergeRateLimits(known, { ...known, requestsPerSecond: undefined, sentMs: 50 }).requestsPerSecond; // 2
 */
export function mergeRateLimits(known: RateLimitObservation, next: RateLimitObservation): RateLimitObservation {
    if (toRate(next) === toRate(known)) {
        const sentMs = Math.max(known.sentMs, next.sentMs);
        return { ...known, sentMs, receivedMs: Math.max(known.receivedMs, next.receivedMs) };
    }
    if (next.sentMs >= known.receivedMs) {
        return next;
    }
    const isOlder = known.sentMs >= next.receivedMs;
    return !isOlder && toRate(next) < toRate(known) ? next : known;
}
