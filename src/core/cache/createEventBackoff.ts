/**
 * @module
 * Decides when an upstream's cache events are read: a stream that loses entries voids more hints than it brings.
 */

/** The decision, per upstream. Times are milliseconds on the instance's clock. */
export interface EventBackoff {
    readonly isDue: (upstream: string, nowMs: number) => boolean;
    /** Notes a read and whether its page had a gap. */
    readonly recordRead: (upstream: string, hadGap: boolean, nowMs: number) => void;
    readonly remove: (upstream: string) => void;
}

interface StreamState {
    readonly pauseMs: number;
    readonly dueMs: number;
    /** Clean reads since the last gap. */
    readonly cleanReads: number;
}

const firstPauseMs = 15_000;
const maxPauseMs = 600_000;

/** Clean reads after which a gap counts as the first one again. */
const cleanReadsToReset = 60;

/**
 * Creates the decision: after a gap a stream rests, twice as long each time, until it has been clean for long.
 *
 * @returns The decision; every stream is due at first.
 * @example
 * const backoff = createEventBackoff();
 * backoff.noteRead("engine-1", true, clock.now());
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
