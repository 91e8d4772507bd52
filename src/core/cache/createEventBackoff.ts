/**
 * @module
 * Backoff for reading an upstream's cache events: an event stream with gaps invalidates more hints than it adds.
 */

/** Backoff by upstream. Times are milliseconds on the instance's clock. */
export interface EventBackoff {
    readonly isDue: (upstream: string, nowMs: number) => boolean;
    /** Records a read and whether its page had a gap. */
    readonly recordRead: (upstream: string, hadGap: boolean, nowMs: number) => void;
    readonly remove: (upstream: string) => void;
}

interface StreamState {
    readonly pauseMs: number;
    readonly dueMs: number;
    /** Reads without a gap since the last gap. */
    readonly cleanReads: number;
}

const firstPauseMs = 15_000;
const maxPauseMs = 600_000;

/** Reads without a gap after which the backoff is reset. */
const cleanReadsToReset = 60;

/**
 * Creates the backoff: each gap pauses reading for twice as long as the previous one, until enough reads had no gap.
 *
 * @returns The backoff; initially every upstream is due.
 * @example
 * const backoff = createEventBackoff();
 * backoff.recordRead("engine-1", true, clock.now());
 * backoff.isDue("engine-1", clock.now()); // false
 */
export function createEventBackoff(): EventBackoff {
    const states = new Map<string, StreamState>();

    function recordRead(upstream: string, hadGap: boolean, nowMs: number): void {
        const state = states.get(upstream);
        if (hadGap) {
            const pauseMs = state === undefined ? firstPauseMs : Math.min(maxPauseMs, state.pauseMs * 2);
            states.set(upstream, { pauseMs, dueMs: nowMs + pauseMs, cleanReads: 0 });
        }
        else if (state !== undefined && state.cleanReads + 1 >= cleanReadsToReset) {
            states.delete(upstream);
        }
        else if (state !== undefined) {
            states.set(upstream, { ...state, cleanReads: state.cleanReads + 1 });
        }
    }

    return {
        isDue: (upstream, nowMs) => nowMs >= (states.get(upstream)?.dueMs ?? -Infinity),
        recordRead,
        remove: upstream => states.delete(upstream),
    };
}
