/**
 * @module
 * Counts the requests of this instance at upstreams, now and a short time ago: a statement that is some time old counted
 * those of then.
 */

/** Counter of this instance's requests. Times are milliseconds on the instance's clock. */
export interface OwnRequests {
    /** Records that a request began (1) or ended (-1). */
    readonly record: (upstream: string, change: 1 | -1, nowMs: number) => void;
    readonly count: (upstream: string) => number;
    /** Forgets an upstream, at once or when its last request has ended. */
    readonly remove: (upstream: string) => void;
    /** Number at an earlier time; for times before the history, the number at its start. */
    readonly countAt: (upstream: string, atMs: number) => number;
}

/** Time for which changes are kept, in milliseconds. */
const historyMs = 3_000;

/** Most changes that are kept of one upstream. */
const maxChanges = 256;

interface OwnState {
    count: number;
    isRemoved: boolean;
    /** The oldest first. */
    readonly changes: { readonly atMs: number; readonly change: 1 | -1; }[];
}

/**
 * Creates a counter without requests.
 *
 * @returns The counter.
 * @example
 * createOwnRequests().countAt("e-1", clock.now() - 300); // 0
 */
export function createOwnRequests(): OwnRequests {
    const states = new Map<string, OwnState>();

    function removeOld({ changes }: OwnState, nowMs: number): void {
        const firstKept = changes.findIndex(one => nowMs - one.atMs <= historyMs);
        const oldCount = firstKept < 0 ? changes.length : firstKept;
        changes.splice(0, Math.max(oldCount, changes.length - maxChanges));
    }

    return {
        record: (upstream, change, nowMs) => {
            const state = states.get(upstream) ?? { count: 0, isRemoved: false, changes: [] };
            states.set(upstream, state);
            // A new process may have the id of the one that ended.
            state.isRemoved &&= change < 0;
            state.count += change;
            state.changes.push({ atMs: nowMs, change });
            removeOld(state, nowMs);
            if (state.isRemoved && state.count === 0) {
                states.delete(upstream);
            }
        },
        remove: upstream => {
            const state = states.get(upstream);
            if (state?.count === 0) {
                states.delete(upstream);
            }
            else if (state !== undefined) {
                state.isRemoved = true;
            }
        },
        count: upstream => states.get(upstream)?.count ?? 0,
        countAt: (upstream, atMs) => {
            const state = states.get(upstream);
            return state === undefined
                ? 0
                : state.changes.reduce((sum, one) => (one.atMs > atMs ? sum - one.change : sum), state.count);
        },
    };
}
