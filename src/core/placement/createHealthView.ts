/**
 * @module
 * Passive health checks of upstreams with outlier ejection, from this instance's own requests; no probe is sent.
 */

/** Health of the upstreams. Times are milliseconds on the instance's clock. */
export interface HealthView {
    readonly recordSent: (upstream: string, requestId: string, nowMs: number) => void;
    /** Records any byte received from the upstream. */
    readonly recordReceived: (upstream: string, nowMs: number) => void;
    readonly recordEnded: (upstream: string, requestId: string) => void;
    /** Records a connection that could not be opened, or an answer that was lost. */
    readonly recordFailure: (upstream: string, nowMs: number) => void;
    /** Records that another process answered at the upstream's address. */
    readonly recordMisdirected: (upstream: string) => void;
    /** Whether the upstream's address is in use by another process. */
    readonly isMisdirected: (upstream: string) => boolean;
    /** Records a complete answer and ends the ejection. */
    readonly recordSuccess: (upstream: string) => void;
    /** Whether new requests should go to other upstreams: it is ejected after failures, or unresponsive. */
    readonly isEjected: (upstream: string, nowMs: number) => boolean;
    /** Whether an upstream with requests in progress has sent nothing for too long. */
    readonly isUnresponsive: (upstream: string, nowMs: number) => boolean;
    readonly remove: (upstream: string) => void;
}

interface HealthState {
    lastReceivedMs: number;
    failures: number;
    ejectedUntilMs: number;
    isMisdirected: boolean;
    readonly sent: Map<string, number>;
}

/** Time without a byte after which an upstream with requests in progress is unresponsive. */
const unresponsiveAfterMs = 1_000;

/** Ejection time after the first failure; it doubles with each consecutive failure. */
const baseEjectionMs = 300;

/** Upper bound of the ejection time. */
const maxEjectionMs = 2_400;

/**
 * Creates a view in which every upstream is healthy.
 *
 * @returns The view.
 * @example
 * createHealthView().isEjected("engine-1", clock.now()); // false
 */
export function createHealthView(): HealthView {
    const states = new Map<string, HealthState>();

    function stateOf(upstream: string): HealthState {
        const known = states.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const state: HealthState = {
            lastReceivedMs: -Infinity,
            failures: 0,
            ejectedUntilMs: -Infinity,
            isMisdirected: false,
            sent: new Map(),
        };
        states.set(upstream, state);
        return state;
    }

    function isUnresponsive(upstream: string, nowMs: number): boolean {
        const state = states.get(upstream);
        const oldest = state?.sent.values().next().value;
        if (state === undefined || oldest === undefined) {
            return false;
        }
        return nowMs - Math.max(oldest, state.lastReceivedMs) > unresponsiveAfterMs;
    }

    return {
        recordSent: (upstream, requestId, nowMs) => {
            stateOf(upstream).sent.set(requestId, nowMs);
        },
        recordReceived: (upstream, nowMs) => {
            stateOf(upstream).lastReceivedMs = nowMs;
        },
        recordEnded: (upstream, requestId) => {
            states.get(upstream)?.sent.delete(requestId);
        },
        recordFailure: (upstream, nowMs) => {
            const state = stateOf(upstream);
            const ejectionMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** state.failures);
            state.failures += 1;
            state.ejectedUntilMs = nowMs + ejectionMs;
        },
        recordMisdirected: upstream => {
            stateOf(upstream).isMisdirected = true;
        },
        isMisdirected: upstream => states.get(upstream)?.isMisdirected ?? false,
        recordSuccess: upstream => {
            const state = stateOf(upstream);
            state.failures = 0;
            state.ejectedUntilMs = -Infinity;
        },
        isEjected: (upstream, nowMs) => {
            const state = states.get(upstream);
            return state !== undefined && (nowMs < state.ejectedUntilMs || isUnresponsive(upstream, nowMs));
        },
        isUnresponsive,
        remove: upstream => {
            states.delete(upstream);
        },
    };
}
