/**
 * @module
 * Counts events by key within a sliding time window.
 */
import type { Clock } from "../time/clock.js";

/** Counts of events within the window. */
export interface WindowCounter {
    readonly add: (key: string) => void;
    readonly count: (key: string) => number;
}

/**
 * Creates the counter.
 *
 * @param clock - The instance's clock.
 * @param windowMs - Length of the window, in milliseconds.
 * @returns The counter.
 * @example
 * createWindowCounter(clock, 60_000).count("entry-2"); // 0
 */
export function createWindowCounter(clock: Clock, windowMs: number): WindowCounter {
    const times = new Map<string, readonly number[]>();

    function listRecent(key: string): readonly number[] {
        const recent = (times.get(key) ?? []).filter(timeMs => clock.now() - timeMs < windowMs);
        if (recent.length === 0) {
            times.delete(key);
        }
        return recent;
    }

    return {
        add: key => times.set(key, [...listRecent(key), clock.now()]),
        count: key => listRecent(key).length,
    };
}
