/**
 * @module
 * How late a process does what is due: it gets the processor late, or its event loop is busy with something else.
 */

/** The meter. Times are milliseconds. */
export interface LagMeter {
    /** Records that something was done `lateMs` after it was due. */
    readonly record: (lateMs: number, nowMs: number) => void;
    /** Returns the longest recent delay. */
    readonly longestMs: (nowMs: number) => number;
}

/** Time for which a delay counts at least, in milliseconds; it counts up to twice as long. */
const windowMs = 3_000;

/**
 * Creates a meter that has recorded nothing.
 *
 * @returns The meter.
 * @example
 * const meter = createLagMeter();
 * clock.after(40, () => meter.record(clock.now() - dueMs, clock.now()));
 */
export function createLagMeter(): LagMeter {
    let windowEndMs = -Infinity;
    let currentMs = 0;
    let previousMs = 0;

    function moveWindow(nowMs: number): void {
        if (nowMs < windowEndMs) {
            return;
        }
        previousMs = nowMs < windowEndMs + windowMs ? currentMs : 0;
        currentMs = 0;
        windowEndMs = nowMs + windowMs;
    }

    return {
        record: (lateMs, nowMs) => {
            moveWindow(nowMs);
            currentMs = Math.max(currentMs, lateMs);
        },
        longestMs: nowMs => {
            moveWindow(nowMs);
            return Math.max(currentMs, previousMs);
        },
    };
}
