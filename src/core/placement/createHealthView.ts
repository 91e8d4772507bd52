/**
 * @module
 * Which upstreams answer, as seen from this instance's own requests: no probe is sent.
 */

/** The view. Times are milliseconds on the instance's clock. */
export interface HealthView {
    readonly recordSent: (upstream: string, requestId: string, nowMs: number) => void;
    /** Notes any byte from the upstream. */
    readonly recordReceived: (upstream: string, nowMs: number) => void;
    readonly recordEnded: (upstream: string, requestId: string) => void;
    /** Notes a connection that could not be opened, or an answer that was lost. */
    readonly recordFailure: (upstream: string, nowMs: number) => void;
    /** Notes that another process has the upstream's address. */
    readonly recordMisdirected: (upstream: string) => void;
    /** Whether another process was found at the upstream's address. */
    readonly isMisdirected: (upstream: string) => boolean;
    /** Notes a whole answer. */
    readonly recordSuccess: (upstream: string) => void;
    /** Whether new requests should go elsewhere. */
    readonly isEjected: (upstream: string, nowMs: number) => boolean;
    /** Whether an upstream with requests at work has been silent for too long. */
    readonly isUnresponsive: (upstream: string, nowMs: number) => boolean;
    readonly remove: (upstream: string) => void;
}

interface HealthState {
    heardMs: number;
    failures: number;
    suspectUntilMs: number;
    isReplaced: boolean;
    readonly sent: Map<string, number>;
}

/** Silence of an upstream with requests at work after which it is suspect, in milliseconds. */
const silenceLimitMs = 1_000;

/** First time for which an upstream is suspect, in milliseconds; it doubles with each failure in a row. */
const firstSuspicionMs = 300;

/** Longest time for which an upstream is suspect, in milliseconds. */
const maxSuspicionMs = 2_400;

/**
 * Creates a view in which every upstream is well.
 *
 * @returns The view.
 * @example
 * createHealthView().isSuspect("engine-1", clock.now()); // false
 */
export function createHealthView(): HealthView {
    const states = new Map<string, HealthState>();

    function stateOf(upstream: string): HealthState {
        const known = states.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const state: HealthState = {
            heardMs: -Infinity,
            failures: 0,
            suspectUntilMs: -Infinity,
            isReplaced: false,
            sent: new Map(),
        };
        states.set(upstream, state);
        return state;
    }

    function isSilent(upstream: string, nowMs: number): boolean {
        const state = states.get(upstream);
        const oldest = state?.sent.values().next().value;
        if (state === undefined || oldest === undefined) {
            return false;
        }
        return nowMs - Math.max(oldest, state.heardMs) > silenceLimitMs;
    }

    return {
        recordSent: (upstream, requestId, nowMs) => {
            stateOf(upstream).sent.set(requestId, nowMs);
        },
        recordReceived: (upstream, nowMs) => {
            stateOf(upstream).heardMs = nowMs;
        },
        recordEnded: (upstream, requestId) => {
            states.get(upstream)?.sent.delete(requestId);
        },
        recordFailure: (upstream, nowMs) => {
            const state = stateOf(upstream);
            const suspicionMs = Math.min(maxSuspicionMs, firstSuspicionMs * 2 ** state.failures);
            state.failures += 1;
            state.suspectUntilMs = nowMs + suspicionMs;
        },
        recordMisdirected: upstream => {
            stateOf(upstream).isReplaced = true;
        },
        isMisdirected: upstream => states.get(upstream)?.isReplaced ?? false,
        recordSuccess: upstream => {
            const state = stateOf(upstream);
            state.failures = 0;
            state.suspectUntilMs = -Infinity;
        },
        isEjected: (upstream, nowMs) => {
            const state = states.get(upstream);
            return state !== undefined && (nowMs < state.suspectUntilMs || isSilent(upstream, nowMs));
        },
        isUnresponsive: isSilent,
        remove: upstream => {
            states.delete(upstream);
        },
    };
}
