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
}

/** The load view. Times are milliseconds on the instance's clock. */
export interface LoadView {
    /** Predicted milliseconds until an upstream would begin a new request. */
    readonly predictWaitMs: (upstream: Upstream, nowMs: number) => number;
    /** Notes a send, with the prefill it is expected to need; the result is passed on when its answer begins. */
    readonly noteSend: (upstream: Upstream, prefillMs: number, nowMs: number) => PendingSend;
    /** Notes that the answer began, with the prefill that it truly needed. */
    readonly noteAnswer: (pending: PendingSend, prefillMs: number, nowMs: number) => void;
    /** Changes the number of the instance's own requests at an upstream; 0 clears what was pending there. */
    readonly noteInFlight: (upstream: string, change: 1 | -1) => void;
    readonly countInFlight: (upstream: string) => number;
    /** Notes a load report; a report that repeats the last one is ignored. */
    readonly noteReport: (upstream: Upstream, load: EngineLoad, nowMs: number) => void;
    readonly forget: (upstream: string) => void;
}

interface LoadState {
    readonly pending: Set<PendingSend>;
    inFlight: number;
    /** Smoothed milliseconds of others' backlog. */
    othersMs: number;
    othersAtMs: number;
    /** Requests that others run, by the last report. */
    othersRunning: number;
    reportAtMs: number;
}

/** Milliseconds in which an observation of others' backlog loses its weight. */
const observationDecayMs = 2_000;

/** Weight of a newer observation against the one before. */
const observationWeight = 0.5;

/** Milliseconds in which a report loses its weight against the mean of all. */
const reportDecayMs = 2_000;

/** Milliseconds after which a send without an answer is no longer counted. */
const pendingLimitMs = 60_000;

/** Milliseconds that a request holds a slot when all slots are taken, by assumption. */
const slotTurnMs = 2_000;

/**
 * Creates an empty view.
 *
 * @returns The view.
 * @example
 * const load = createLoadView();
 * const pending = load.noteSend(upstream, 40, clock.now());
 * load.noteAnswer(pending, 55, clock.now());
 */
export function createLoadView(): LoadView {
    const states = new Map<string, LoadState>();

    function stateOf(upstream: string): LoadState {
        let state = states.get(upstream);
        if (state === undefined) {
            state = {
                pending: new Set(),
                inFlight: 0,
                othersMs: 0,
                othersAtMs: -Infinity,
                othersRunning: 0,
                reportAtMs: -Infinity,
            };
            states.set(upstream, state);
        }
        return state;
    }

    function sumOwnMs(state: LoadState, nowMs: number): number {
        let sum = 0;
        let oldestMs = nowMs;
        for (const one of state.pending) {
            if (nowMs - one.sentMs > pendingLimitMs) {
                state.pending.delete(one);
                continue;
            }
            sum += one.prefillMs;
            oldestMs = Math.min(oldestMs, one.sentMs);
        }
        // What was sent first has been worked on since.
        return Math.max(0, sum - (nowMs - oldestMs));
    }

    function decayOthers(state: LoadState, nowMs: number): number {
        return state.othersMs * Math.exp(-(nowMs - state.othersAtMs) / observationDecayMs);
    }

    function waitForSlot(state: LoadState, slots: number): number {
        const running = state.othersRunning + state.inFlight;
        return running < slots ? 0 : ((running - slots + 1) * slotTurnMs) / slots;
    }

    function predictWaitMs(upstream: Upstream, nowMs: number): number {
        const state = states.get(upstream.id);
        if (state === undefined) {
            return 0;
        }
        return sumOwnMs(state, nowMs) + decayOthers(state, nowMs) + waitForSlot(state, upstream.slots);
    }

    function observe(state: LoadState, othersMs: number, weight: number, nowMs: number): void {
        state.othersMs = (1 - weight) * decayOthers(state, nowMs) + weight * othersMs;
        state.othersAtMs = nowMs;
    }

    function noteSend(upstream: Upstream, prefillMs: number, nowMs: number): PendingSend {
        const state = stateOf(upstream.id);
        const pending = { upstream, sentMs: nowMs, prefillMs, ownWaitMs: sumOwnMs(state, nowMs) };
        state.pending.add(pending);
        return pending;
    }

    function noteAnswer(pending: PendingSend, prefillMs: number, nowMs: number): void {
        const state = stateOf(pending.upstream.id);
        state.pending.delete(pending);
        const waitedMs = nowMs - pending.sentMs - prefillMs - pending.ownWaitMs;
        observe(state, Math.max(0, waitedMs), observationWeight, nowMs);
    }

    function noteInFlight(upstream: string, change: 1 | -1): void {
        const state = stateOf(upstream);
        state.inFlight = Math.max(0, state.inFlight + change);
        if (state.inFlight === 0) {
            state.pending.clear();
        }
    }

    function noteReport(upstream: Upstream, load: EngineLoad, nowMs: number): void {
        const state = stateOf(upstream.id);
        state.othersRunning = Math.max(0, load.runningRequests + load.queuedRequests - state.inFlight);
        const queuedMs = (load.queuedPromptTokens * millisecondsPerSecond) / upstream.prefillTokensPerSecond;
        const othersMs = Math.max(0, queuedMs - sumOwnMs(state, nowMs));
        // Observed waits are fresher than any report; a report counts only where they are missing.
        const silenceMs = nowMs - state.othersAtMs;
        const weight = 1 - Math.exp(-Math.min(silenceMs, nowMs - state.reportAtMs) / reportDecayMs);
        observe(state, othersMs, weight * observationWeight, nowMs);
        state.reportAtMs = nowMs;
    }

    return {
        predictWaitMs,
        noteSend,
        noteAnswer,
        noteInFlight,
        countInFlight: upstream => states.get(upstream)?.inFlight ?? 0,
        noteReport,
        forget: upstream => states.delete(upstream),
    };
}
