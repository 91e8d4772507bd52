/**
 * @module
 * Estimates the load of upstreams from delayed load reports and observed waits, corrected by the instance's own sends.
 */
import type { Upstream } from "../catalogue/catalogueEntry.js";
import { millisecondsPerSecond } from "../constants.js";
import type { EngineLoad } from "../ports/enginePort.js";

/** A request that was sent and whose answer has not started. */
export interface PendingSend {
    readonly upstream: Upstream;
    readonly sentMs: number;
    /** Milliseconds of prefill that it was expected to need. */
    readonly prefillMs: number;
    /** Milliseconds that it was expected to queue behind the instance's own sends. */
    readonly ownWaitMs: number;
    /** Time at which its prefill was expected to start. */
    readonly beginMs: number;
}

/** The load view. Times are milliseconds on the instance's clock. */
export interface LoadView {
    /** Predicts the milliseconds until an upstream would start a new request. */
    readonly predictWaitMs: (upstream: Upstream, nowMs: number) => number;
    /** Records a send with its expected prefill; the result is passed to `recordAnswerStart` when its answer starts. */
    readonly recordSend: (upstream: Upstream, prefillMs: number, nowMs: number) => PendingSend;
    /** Records that an answer started, with its actual prefill and the prefill that it would need without a cache. */
    readonly recordAnswerStart: (
        pending: PendingSend,
        prefillMs: number,
        uncachedPrefillMs: number,
        nowMs: number,
    ) => void;
    /** Changes the number of the instance's own requests at an upstream; at 0 its pending sends are cleared. */
    readonly recordInFlight: (upstream: string, change: 1 | -1) => void;
    readonly countInFlight: (upstream: string) => number;
    /** Records a load report; it has a low weight because it is delayed. */
    readonly recordReport: (upstream: Upstream, load: EngineLoad, nowMs: number) => void;
    readonly remove: (upstream: string) => void;
}

interface LoadState {
    readonly pending: Set<PendingSend>;
    inFlight: number;
    /** Moving average of the backlog of other instances, in milliseconds. */
    othersMs: number;
    /** Requests of other instances, by the last report. */
    othersRunning: number;
}

/**
 * Weight of a new observation in the moving average of its upstream. Queues change faster than observations arrive, so
 * the average predicts better than the last observation.
 */
const observationWeight = 0.03;

/** Weight of a load report in the moving average of its upstream. */
const reportWeight = 0.01;

/** Weight of a new observation in the moving averages over all upstreams. */
const fleetWeight = 0.02;

/** Factor by which the minimum observed overhead grows with each answer, so that it adapts to a slower network. */
const overheadGrowth = 1.002;

/** Maximum overhead that is subtracted before an answer counts as late, in milliseconds. */
const maxOverheadMs = 1_000;

/** Milliseconds after which a send without an answer is no longer counted as pending. */
const maxPendingMs = 60_000;

/** Assumed milliseconds that a request occupies a slot when all slots are in use. */
const assumedSlotHoldMs = 2_000;

/**
 * Creates an empty view.
 *
 * @returns The view.
 * @example
 * const load = createLoadView();
 * const pending = load.recordSend(upstream, 40, clock.now());
 * load.recordAnswerStart(pending, 55, 400, clock.now());
 */
export function createLoadView(): LoadView {
    const states = new Map<string, LoadState>();
    // Backlog that is assumed for an upstream without observations, so that being unknown is no advantage.
    let fleetOthersMs = 0;
    // Share of queued prompt tokens that has to be prefilled; the others are cached.
    let computedShare = 1;
    // Time that every answer takes in addition to wait and prefill: network and first decoding step.
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
        // Engines prefill in order: only the first pending send can have made progress.
        return first === undefined ? 0 : sum - Math.min(first.prefillMs, Math.max(0, nowMs - first.beginMs));
    }

    /** Finds the time by which the first pending send is overdue: it must be queued behind work of other instances. */
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
