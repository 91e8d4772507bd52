/**
 * @module
 * How long a process's event loop was held up: beyond some hundred milliseconds, its records say little.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";

const nanosecondsPerMillisecond = 1e6;

/** Starts to watch and returns a function that reads the longest delay so far, in milliseconds. */
export function watchEventLoop(): () => number {
    const histogram = monitorEventLoopDelay();
    histogram.enable();
    return () => Math.round(histogram.max / nanosecondsPerMillisecond);
}
