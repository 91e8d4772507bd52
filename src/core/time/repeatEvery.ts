/**
 * @module
 * Periodic actions.
 */
import type { CancelTimer, Clock } from "./clock.js";

/**
 * Repeats an action; the first run is one interval from now, and each interval starts when the previous run ends. An
 * action that throws is repeated nevertheless; what it threw reaches the timer's caller.
 *
 * @param clock - The clock.
 * @param intervalMs - Milliseconds between two runs.
 * @param action - The action.
 * @returns A function that ends the repetition; the action may call it too.
 * @example
 * const stop = repeatEvery(clock, 1_000, sweep);
 */
export function repeatEvery(clock: Clock, intervalMs: number, action: () => void): CancelTimer {
    let isStopped = false;
    let cancelTimer: CancelTimer = () => undefined;

    function schedule(): void {
        cancelTimer = clock.after(intervalMs, () => {
            try {
                action();
            }
            finally {
                if (!isStopped) {
                    schedule();
                }
            }
        });
    }

    schedule();
    return () => {
        isStopped = true;
        cancelTimer();
    };
}
