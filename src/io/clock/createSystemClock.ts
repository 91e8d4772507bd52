/**
 * @module
 * The production clock.
 */
import { performance } from "node:perf_hooks";
import type { Clock } from "../../core/time/clock.js";

/** Longest delay of a timer; Node.js fires one with a longer delay at once. */
const maxTimerMs = 2 ** 31 - 1;

/**
 * Creates a clock over the process's monotonic time and timers.
 *
 * @returns The clock.
 */
export function createSystemClock(): Clock {
    return {
        now: () => performance.now(),
        wallNow: () => Date.now(),
        after: (delayMs, action) => {
            const timer = setTimeout(action, Math.min(delayMs, maxTimerMs));
            return () => clearTimeout(timer);
        },
    };
}
