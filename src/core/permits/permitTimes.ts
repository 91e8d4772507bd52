/**
 * @module
 * Times of permits, in milliseconds. In any 4 s an upstream that takes L requests a second gets at most what its bucket holds, what
 * it gains in that time and what was granted up to a term before: 1 + L (4 + 0.25 + 1.3), and L for each second that a request takes
 * from its placement to its arrival.
 */

/** Time from an ask within which a permit of it must be used. */
export const permitTermMs = 1_300;

/** Time for which the owner keeps an ask that it cannot grant yet; the permit can still be used after it. */
export const askLifetimeMs = 800;

/** Time after which an ask without an answer counts as lost. */
export const askTimeoutMs = 200;

/** Time for which unused permits accumulate in a bucket, in addition to one permit. */
export const burstMs = 250;
