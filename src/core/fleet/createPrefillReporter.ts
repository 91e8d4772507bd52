/**
 * @module
 * Collects the prefills that begin within a moment into one report to the peers.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import type { Prefill, PrefillReport } from "./prefillReport.js";

/** Collects prefills. */
export interface PrefillReporter {
    readonly add: (prefill: Prefill) => void;
    readonly stop: () => void;
}

/** Delay of a report, in milliseconds. It bounds the reports of a busy instance to 50 a second. */
const reportDelayMs = 20;

/**
 * Creates a reporter with nothing to report.
 *
 * @param clock - The clock.
 * @param send - Sends a report to the peers; it may be lost.
 * @returns The reporter.
 * @example
 * createPrefillReporter(clock, send).add({ engine: "engine-1", salt, parts: [{ id: "style", tokens: 800 }] });
 */
export function createPrefillReporter(clock: Clock, send: (report: PrefillReport) => void): PrefillReporter {
    let pending: readonly Prefill[] = [];
    let cancel: CancelTimer = () => undefined;

    function flush(): void {
        const prefills = pending;
        pending = [];
        send({ prefills });
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
