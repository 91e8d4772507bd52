/**
 * @module
 * When a process last looked at its connections: what it sees after it was held up may have happened any time since.
 */
import { readSharedClock } from "./readSharedClock.js";

const tickMs = 10;

/** Starts to watch and returns a function that reads the earliest time at which an event that is seen now may have happened. */
export function watchTurns(): () => number {
    // Timers run before connections are read, so that the last tick may come after the process was held up.
    let lastMs = readSharedClock();
    let previousMs = lastMs;
    setInterval(() => {
        previousMs = lastMs;
        lastMs = readSharedClock();
    }, tickMs).unref();
    return () => previousMs;
}
