/**
 * @module
 * The production clock.
 */
import { performance } from "node:perf_hooks";
import type { Clock } from "../../core/time/clock.js";

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
            const timer = setTimeout(action, delayMs);
            return () => clearTimeout(timer);
        },
    };
}
