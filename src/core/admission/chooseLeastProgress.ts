/**
 * @module
 * Chooses what yields when connections or memory run short: whoever makes the least progress, so that callers that finish find
 * room beside any number of others that stop short and stay.
 */

/** How far something that is received has come. */
export interface Progress {
    /** When it began, in milliseconds on the clock. */
    readonly sinceMs: number;
    /** Bytes that have arrived since. */
    readonly bytes: number;
}

/** Time that everybody is given before their progress counts, in milliseconds. */
const graceMs = 250;

function computeRate({ sinceMs, bytes }: Progress, nowMs: number): number {
    return bytes / Math.max(1, nowMs - sinceMs);
}

/**
 * Chooses the one with the fewest bytes for its time. One that has begun within the last 250 ms is chosen only if all have,
 * and then it is the oldest.
 *
 * @param candidates - Those that may yield, the oldest first among equals.
 * @param readProgress - Reads how far one has come.
 * @param nowMs - Time on the clock, in milliseconds.
 * @returns The chosen one; undefined if there is none.
 * @example
 * chooseLeastProgress(uploads, upload => upload.progress, clock.now())?.evict();
 */
export function chooseLeastProgress<T>(
    candidates: Iterable<T>,
    readProgress: (candidate: T) => Progress,
    nowMs: number,
): T | undefined {
    let slowest: T | undefined;
    let slowestRate = Infinity;
    let oldest: T | undefined;
    let oldestMs = Infinity;
    for (const candidate of candidates) {
        const progress = readProgress(candidate);
        const rate = computeRate(progress, nowMs);
        if (nowMs - progress.sinceMs >= graceMs && rate < slowestRate) {
            slowest = candidate;
            slowestRate = rate;
        }
        if (progress.sinceMs < oldestMs) {
            oldest = candidate;
            oldestMs = progress.sinceMs;
        }
    }
    return slowest ?? oldest;
}
