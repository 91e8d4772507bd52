/**
 * @module
 * Observes how fast the waiting requests of a queue are placed, and predicts from it how long a request will wait. It
 * answers a load that exceeds the capacity of all upstreams for seconds: without a prediction, each request that cannot
 * be served would wait until its time is up.
 */

/** Progress of a queue. Times are milliseconds on the instance's clock; sizes are in memory tokens. */
export interface QueueProgress {
    /** Records that requests wait from now on. */
    readonly start: (nowMs: number) => void;
    /** Records that a waiting request of the given size was placed. */
    readonly recordPlaced: (size: number, nowMs: number) => void;
    /**
     * Predicts the time until requests of the given total size have been placed: infinite when none was placed for the
     * whole window, undefined when requests have waited for too short a time to tell.
     */
    readonly predictWaitMs: (sizeAhead: number, nowMs: number) => number | undefined;
}

interface PlacedRequest {
    readonly atMs: number;
    readonly size: number;
}

/** Time over which the rate of placements is observed, in milliseconds. */
const windowMs = 1_000;

/** Minimum time for which requests must have waited for a prediction, in milliseconds. */
const minObservedMs = 400;

/**
 * Creates the progress of a queue in which no request has waited yet.
 *
 * @returns The progress.
 * @example
 * const progress = createQueueProgress();
 * progress.start(0);
 * progress.recordPlaced(5_000, 500);
 * progress.predictWaitMs(10_000, 1_000); // 2_000
 */
export function createQueueProgress(): QueueProgress {
    let startedMs = Infinity;
    let placed: readonly PlacedRequest[] = [];

    return {
        start: nowMs => {
            startedMs = nowMs;
            placed = [];
        },
        recordPlaced: (size, nowMs) => {
            placed = [...placed.filter(one => nowMs - one.atMs <= windowMs), { atMs: nowMs, size }];
        },
        predictWaitMs: (sizeAhead, nowMs) => {
            const observedMs = Math.min(windowMs, nowMs - startedMs);
            if (observedMs < minObservedMs) {
                return undefined;
            }
            const recent = placed.filter(one => nowMs - one.atMs <= windowMs);
            const size = recent.reduce((sum, one) => sum + one.size, 0);
            if (size === 0) {
                return observedMs < windowMs ? undefined : Infinity;
            }
            return sizeAhead * observedMs / size;
        },
    };
}
