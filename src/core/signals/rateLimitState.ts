/**
 * @module
 * The rate limit of an upstream: which of two answers counts, and how the rate rises after the end of the limit.
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

/** Recovery after the end of a limit. */
interface Recovery {
    readonly sinceMs: number;
    readonly requestsPerSecond: number;
}

/** What is known of an upstream's rate limit. */
export interface RateLimitState {
    readonly observation: RateLimitObservation;
    /** Undefined while a limit is stated. */
    readonly recovery: Recovery | undefined;
}

/**
 * Lowest rate that is used, in requests per second: only the answer to a request can tell that a limit of zero, or one close
 * to it, has ended.
 */
const minRequestsPerSecond = 1 / 30;

/** Time after the end of a limit in which the rate rises, so that not all instances return at once, in milliseconds. */
const recoveryMs = 4_000;

/** Lowest rate from which it rises, in requests per second, and the time in which it doubles, in milliseconds. */
const minRecoveryRate = 1;
const recoveryDoublingMs = 1_000;

/** Time for which the end of a limit is remembered, in milliseconds: peers may still report the limit. */
const endMemoryMs = 60_000;

/**
 * Applies an observation.
 *
 * @param known - What is known; undefined when no limit was ever stated.
 * @param next - The observation.
 * @param nowMs - The instance's clock, in milliseconds.
 * @returns What is known then; undefined when still no limit was ever stated.
 * @example
 * observeRateLimit(undefined, { requestsPerSecond: 2, sentMs: 0, receivedMs: 100, source: "entry-1" }, 100);
 */
export function observeRateLimit(
    known: RateLimitState | undefined,
    next: RateLimitObservation,
    nowMs: number,
): RateLimitState | undefined {
    if (known === undefined) {
        return next.requestsPerSecond === undefined ? undefined : { observation: next, recovery: undefined };
    }
    const observation = mergeRateLimits(known.observation, next);
    if (observation.requestsPerSecond !== undefined) {
        return { observation, recovery: undefined };
    }
    const { requestsPerSecond } = known.observation;
    const recovery = requestsPerSecond === undefined ? known.recovery : { sinceMs: nowMs, requestsPerSecond };
    return { observation, recovery };
}

/**
 * Computes the rate that is in force.
 *
 * @param state - What is known.
 * @param nowMs - The instance's clock, in milliseconds.
 * @returns Requests per second; undefined when the upstream takes any.
 * @example
 * computeRate({ observation, recovery: undefined }, clock.now()); // 2
 */
export function computeRate({ observation, recovery }: RateLimitState, nowMs: number): number | undefined {
    if (observation.requestsPerSecond !== undefined) {
        return Math.max(observation.requestsPerSecond, minRequestsPerSecond);
    }
    if (recovery === undefined || nowMs - recovery.sinceMs >= recoveryMs) {
        return undefined;
    }
    const doublings = (nowMs - recovery.sinceMs) / recoveryDoublingMs;
    return Math.max(recovery.requestsPerSecond, minRecoveryRate) * 2 ** doublings;
}

/**
 * Returns whether a limit ended so long ago that nobody reports it any more.
 *
 * @param state - What is known.
 * @param nowMs - The instance's clock, in milliseconds.
 * @returns Whether it can be forgotten.
 * @example
 * isForgettable({ observation, recovery: undefined }, clock.now()); // false
 */
export function isForgettable({ recovery }: RateLimitState, nowMs: number): boolean {
    return recovery !== undefined && nowMs - recovery.sinceMs > endMemoryMs;
}
