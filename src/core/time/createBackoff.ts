/**
 * @module
 * Exponential backoff: the delay doubles with each failure in a row.
 */

/** Backoff after failures. */
export interface Backoff {
    /** Whether the delay after the last failure is not over. */
    readonly isWaiting: () => boolean;
    /** Records a result; a success ends the backoff. */
    readonly recordResult: (isSuccess: boolean) => void;
}

/** Options of {@link createBackoff}. */
export interface BackoffOptions {
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    /** Delay after the first failure, in milliseconds. */
    readonly firstDelayMs: number;
    readonly maxDelayMs: number;
}

/**
 * Creates a backoff that does not wait.
 *
 * @param options - The clock and the delays.
 * @returns The backoff.
 * @example
 * const backoff = createBackoff({ now: clock.now, firstDelayMs: 100, maxDelayMs: 800 });
 * backoff.recordResult(false);
 * backoff.isWaiting(); // true
 */
export function createBackoff({ now, firstDelayMs, maxDelayMs }: BackoffOptions): Backoff {
    let nextDelayMs = firstDelayMs;
    let untilMs = -Infinity;
    return {
        isWaiting: () => untilMs > now(),
        recordResult: isSuccess => {
            untilMs = isSuccess ? -Infinity : now() + nextDelayMs;
            nextDelayMs = isSuccess ? firstDelayMs : Math.min(maxDelayMs, nextDelayMs * 2);
        },
    };
}
