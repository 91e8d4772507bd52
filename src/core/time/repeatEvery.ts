/**
 * @module
 * Actions that are repeated at an interval.
 */
import type { CancelTimer, Clock } from "./clock.js";

/**
 * Repeats an action; the first time is one interval from now, and each next one counts from the end of the last.
 *
 * @param clock - The clock.
 * @param intervalMs - Milliseconds between two times.
 * @param action - What is done.
 * @returns Ends the repetition, also when it is called by the action.
 * @example
 * const stop = repeatEvery(clock, 1_000, sweep);
 */
export function repeatEvery(clock: Clock, intervalMs: number, action: () => void): CancelTimer {
    let isStopped = false;
    let cancelTimer: CancelTimer = () => undefined;

    function schedule(): void {
        cancelTimer = clock.after(intervalMs, () => {
            action();
            if (!isStopped) {
                schedule();
            }
        });
    }

    schedule();
    return () => {
        isStopped = true;
        cancelTimer();
    };
}
