/**
 * @module
 * The view of upstreams' load: lagging reports and observed waits, corrected by the instance's own sends.
 */
import type { Upstream } from "../catalogue/catalogueEntry.js";
import { millisecondsPerSecond } from "../constants.js";
import type { EngineLoad } from "../ports/enginePort.js";

/** A request that was sent and whose answer has not begun. */
export interface PendingSend {
    readonly upstream: Upstream;
    readonly sentMs: number;
    /** Milliseconds of prefill that it was expected to need. */
    readonly prefillMs: number;
    /** Milliseconds that it was expected to wait behind the instance's own sends. */
    readonly ownWaitMs: number;
    /** When its prefill was expected to begin. */
    readonly beginMs: number;
}

/** The load view. Times are milliseconds on the instance's clock. */
export interface LoadView {
    /** Predicted milliseconds until an upstream would begin a new request. */
    readonly predictWaitMs: (upstream: Upstream, nowMs: number) => number;
    /** Notes a send, with the prefill it is expected to need; the result is passed on when its answer begins. */
    readonly recordSend: (upstream: Upstream, prefillMs: number, nowMs: number) => PendingSend;
    /** Notes that the answer began, with the prefill that it truly needed and what it had needed without a cache. */
    readonly recordAnswerStart: (
        pending: PendingSend,
        prefillMs: number,
        uncachedPrefillMs: number,
        nowMs: number,
    ) => void;
    /** Changes the number of the instance's own requests at an upstream; 0 clears what was pending there. */
    readonly recordInFlight: (upstream: string, change: 1 | -1) => void;
    readonly countInFlight: (upstream: string) => number;
    /** Notes a load report; it weighs little, for it lags. */
    readonly recordReport: (upstream: Upstream, load: EngineLoad, nowMs: number) => void;
    readonly remove: (upstream: string) => void;
}

interface LoadState {
    readonly pending: Set<PendingSend>;
    inFlight: number;
    /** Average milliseconds of others' backlog. */
    othersMs: number;
    /** Requests that others run, by the last report. */
    othersRunning: number;
}

/**
 * Weight of a newer observation in the average of its upstream. Queues turn over faster than observations come, so that
 * the average tells more than the last one.
 */
const observationWeight = 0.03;

/** Weight of a report in the average of its upstream. */
const reportWeight = 0.01;

/** Weight of a newer observation in the averages over all upstreams. */
const fleetWeight = 0.02;

/** Factor by which the least seen overhead rises an answer, so that it follows a slower network. */
const overheadGrowth = 1.002;

/** Most overhead that is allowed for before an answer counts as late, in milliseconds. */
const maxOverheadMs = 1_000;

/** Milliseconds after which a send without an answer is no longer counted. */
const maxPendingMs = 60_000;

/** Milliseconds that a request holds a slot when all slots are taken, by assumption. */
const assumedSlotHoldMs = 2_000;

/**
 * Creates an empty view.
 *
 * @returns The view.
 * @example
 * const load = createLoadView();
 * const pending = load.noteSend(upstream, 40, clock.now());
 * load.noteAnswer(pending, 55, 400, clock.now());
 */
export function createLoadView(): LoadView {
    const states = new Map<string, LoadState>();
    // Backlog that is assumed where nothing was seen lately, so that not knowing an upstream is no advantage.
    let fleetOthersMs = 0;
    // Share of queued prompt tokens that has to be computed; the rest is found cached.
    let computedShare = 1;
    // Time that every answer takes beside wait and prefill: network and first decoding step.
    let overheadMs = Infinity;

    function findState(upstream: string): LoadState {
        let state = states.get(upstream);
        if (state === undefined) {
            state = {
                pending: new Set(),
                inFlight: 0,
                othersMs: fleetOthersMs,
                othersRunning: 0,
            };
            states.set(upstream, state);
        }
        return state;
    }

    function sumOwnMs(state: LoadState, nowMs: number): number {
        let sum = 0;
        let first: PendingSend | undefined;
        for (const one of state.pending) {
            if (nowMs - one.sentMs > maxPendingMs) {
                state.pending.delete(one);
                continue;
            }
            sum += one.prefillMs;
            first ??= one;
        }
        // Engines prefill in order: only the first one can have been worked on.
        return first === undefined ? 0 : sum - Math.min(first.prefillMs, Math.max(0, nowMs - first.beginMs));
    }

    /** Time by which the first send is late: others' work must have come before it. */
    function findOverdueMs(state: LoadState, nowMs: number): number {
        for (const one of state.pending) {
            return Math.max(0, nowMs - one.beginMs - one.prefillMs - Math.min(overheadMs, maxOverheadMs));
        }
        return 0;
    }

    function predictSlotWaitMs(state: LoadState, slots: number): number {
        const running = state.othersRunning + state.inFlight;
        return running < slots ? 0 : ((running - slots + 1) * assumedSlotHoldMs) / slots;
    }

    function predictWaitMs(upstream: Upstream, nowMs: number): number {
        const state = states.get(upstream.id);
        if (state === undefined) {
            return fleetOthersMs;
        }
        const othersMs = Math.max(state.othersMs, findOverdueMs(state, nowMs));
        return sumOwnMs(state, nowMs) + othersMs + predictSlotWaitMs(state, upstream.slots);
    }

    function recordSend(upstream: Upstream, prefillMs: number, nowMs: number): PendingSend {
        const state = findState(upstream.id);
        const ownWaitMs = sumOwnMs(state, nowMs);
        const beginMs = nowMs + ownWaitMs + state.othersMs;
        const pending = { upstream, sentMs: nowMs, prefillMs, ownWaitMs, beginMs };
        state.pending.add(pending);
        return pending;
    }

    function recordAnswerStart(
        pending: PendingSend,
        prefillMs: number,
        uncachedPrefillMs: number,
        nowMs: number,
    ): void {
        const state = findState(pending.upstream.id);
        state.pending.delete(pending);
        const elapsedMs = nowMs - pending.sentMs - prefillMs;
        overheadMs = Math.min(elapsedMs, overheadMs * overheadGrowth);
        const othersMs = Math.max(0, elapsedMs - Math.max(0, overheadMs) - pending.ownWaitMs);
        state.othersMs += observationWeight * (othersMs - state.othersMs);
        computedShare += fleetWeight * (prefillMs / Math.max(1, uncachedPrefillMs) - computedShare);
        fleetOthersMs += fleetWeight * (othersMs - fleetOthersMs);
    }

    function recordInFlight(upstream: string, change: 1 | -1): void {
        const state = findState(upstream);
        state.inFlight = Math.max(0, state.inFlight + change);
        if (state.inFlight === 0) {
            state.pending.clear();
        }
    }

    function recordReport(upstream: Upstream, load: EngineLoad, nowMs: number): void {
        const state = findState(upstream.id);
        state.othersRunning = Math.max(0, load.runningRequests + load.queuedRequests - state.inFlight);
        const computedTokens = load.queuedPromptTokens * computedShare;
        const queuedMs = (computedTokens * millisecondsPerSecond) / upstream.prefillTokensPerSecond;
        const othersMs = Math.max(0, queuedMs - sumOwnMs(state, nowMs));
        state.othersMs += reportWeight * (othersMs - state.othersMs);
    }

    return {
        predictWaitMs,
        recordSend,
        recordAnswerStart,
        recordInFlight,
        countInFlight: upstream => states.get(upstream)?.inFlight ?? 0,
        recordReport,
        remove: upstream => states.delete(upstream),
    };
}
