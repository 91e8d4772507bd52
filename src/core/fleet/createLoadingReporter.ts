/**
 * @module
 * Sends reports of loading engines when they change: the first change at once, further ones together after a moment.
 */
import type { CancelTimer, Clock } from "../time/clock.js";

/** Reports which engines load. */
export interface LoadingReporter {
    /** Reports the engines unless the last report had the same ones. */
    readonly report: (loading: readonly string[]) => void;
    readonly stop: () => void;
}

/** Shortest time between two reports, in milliseconds. */
const minIntervalMs = 100;

/**
 * Creates a reporter that has reported nothing.
 *
 * @param clock - The clock.
 * @param send - Sends a report with its sequence number to all instances.
 * @returns The reporter.
 * @example
 * createLoadingReporter(clock, send).report(["engine-1"]);
 */
export function createLoadingReporter(
    clock: Clock,
    send: (loading: readonly string[], sequence: number) => void,
): LoadingReporter {
    let pending: readonly string[] = [];
    let sent = "";
    let sequence = 0;
    let nextMs = -Infinity;
    let cancel: CancelTimer | undefined;

    function flush(): void {
        cancel = undefined;
        const key = pending.join(" ");
        if (key === sent) {
            return;
        }
        sent = key;
        sequence += 1;
        nextMs = clock.now() + minIntervalMs;
        send(pending, sequence);
    }

    return {
        report: loading => {
            pending = loading;
            const waitMs = nextMs - clock.now();
            if (waitMs <= 0) {
                flush();
            }
            else {
                cancel ??= clock.after(waitMs, flush);
            }
        },
        stop: () => cancel?.(),
    };
}
