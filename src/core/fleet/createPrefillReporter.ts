/**
 * @module
 * Collects the prefills that begin within a moment into one report to the peers, within a budget of bytes: peers
 * that miss a report learn the same from the engines' events, later.
 */
import { millisecondsPerSecond } from "../constants.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import type { Prefill, PrefillReport } from "./prefillReport.js";

/** Collects prefills. */
export interface PrefillReporter {
    readonly add: (prefill: Prefill) => void;
    readonly stop: () => void;
}

/** Delay of a report, in milliseconds. */
const reportDelayMs = 20;

/** Bytes that reports may take on average, to all peers together; beyond them reports are left out. */
const bytesPerSecond = 8_000;

/** Bytes that may be saved up for a moment with many prefills, such as the one after a change of weights. */
const maxSavedBytes = 16_000;

/**
 * Creates a reporter with nothing to report.
 *
 * @param clock - The clock.
 * @param send - Sends a report to the peers, where it may be lost; returns the bytes sent to all of them.
 * @returns The reporter.
 * @example
 * createPrefillReporter(clock, send).add({ engine: "engine-1", salt, parts });
 */
export function createPrefillReporter(clock: Clock, send: (report: PrefillReport) => number): PrefillReporter {
    let pending: readonly Prefill[] = [];
    let cancel: CancelTimer = () => undefined;
    let savedBytes = maxSavedBytes;
    let savedAtMs = clock.now();

    function flush(): void {
        const nowMs = clock.now();
        const earnedBytes = (nowMs - savedAtMs) * bytesPerSecond / millisecondsPerSecond;
        savedBytes = Math.min(maxSavedBytes, savedBytes + earnedBytes);
        savedAtMs = nowMs;
        const prefills = pending;
        pending = [];
        if (savedBytes > 0) {
            savedBytes -= send({ prefills });
        }
    }

    return {
        add: prefill => {
            if (pending.length === 0) {
                cancel = clock.after(reportDelayMs, flush);
            }
            pending = [...pending, prefill];
        },
        stop: () => cancel(),
    };
}
