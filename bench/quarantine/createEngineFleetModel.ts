/**
 * @module
 * Engines that prefill one prompt after the other, and end when they begin to write an answer on a harmful part.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { UpstreamRecord } from "../../src/core/registry/upstreamRecord.js";
import { createRecord } from "../support/proxyFixtures.js";

/** A request at an engine. */
export interface EngineCall {
    readonly parts: readonly string[];
    readonly promptTokens: number;
    readonly onBegin: () => void;
    readonly onAnswer: () => void;
    /** The connection ended before the answer was complete. */
    readonly onConnectionEnd: () => void;
}

/** What became of a request that arrived at an address. */
export type ArrivalResult = "accepted" | "refused" | "replaced" | "busy";

/** The engines. */
export interface EngineFleetModel {
    readonly list: () => readonly UpstreamRecord[];
    readonly isListening: (address: string) => boolean;
    readonly arrive: (record: UpstreamRecord, call: EngineCall) => ArrivalResult;
    /** Ends one of the engines for a reason that has nothing to do with its requests. */
    readonly end: (address: string) => void;
    /** Ends connections of some requests although their engines go on. */
    readonly resetConnections: (share: number) => void;
    readonly countEnds: () => number;
}

/** Options of {@link createEngineFleetModel}. */
export interface EngineFleetOptions {
    readonly engines: number;
    readonly slots: number;
    readonly keepsIds: boolean;
    readonly isHarmful: (part: string) => boolean;
    readonly onHarmfulEnd: (part: string) => void;
    /** Fraction of the answers that are lost although their engines go on. */
    readonly lostAnswers: () => number;
    /** Called when an engine has started or ended. */
    readonly onChange: (record: UpstreamRecord, isStarted: boolean) => void;
}

interface EngineState {
    record: UpstreamRecord;
    isAlive: boolean;
    prefilledMs: number;
    readonly calls: Set<EngineCall>;
}

const tokensPerMs = 40;

/** Longest time from the beginning of an answer to the end of the engine, in milliseconds. */
const maxHarmMs = 95;
const minHarmMs = 20;

/** Time until an engine starts again, in milliseconds. */
const minDownMs = 1_500;
const maxDownMs = 4_000;

const minAnswerMs = 40;
const maxAnswerMs = 600;

/** Creates engines that run. */
export function createEngineFleetModel(clock: VirtualClock, options: EngineFleetOptions): EngineFleetModel {
    const { random } = clock;
    let starts = 0;
    let ends = 0;
    const between = (from: number, to: number) => from + random() * (to - from);

    function createEngineRecord(index: number, id: string): UpstreamRecord {
        starts += 1;
        const address = `10.1.0.${index + 1}:80`;
        return createRecord({ id, address, slots: options.slots, startedAtMs: starts });
    }

    const states = Array.from({ length: options.engines }, (_, index): EngineState => ({
        record: createEngineRecord(index, `engine-${index}`),
        isAlive: true,
        prefilledMs: 0,
        calls: new Set(),
    }));

    function start(state: EngineState, index: number): void {
        state.record = createEngineRecord(index, options.keepsIds ? state.record.id : `engine-${index}-${starts}`);
        state.isAlive = true;
        state.prefilledMs = clock.now();
        options.onChange(state.record, true);
    }

    function end(state: EngineState): void {
        if (!state.isAlive) {
            return;
        }
        ends += 1;
        state.isAlive = false;
        const lost = [...state.calls];
        state.calls.clear();
        lost.forEach(call => call.onConnectionEnd());
        options.onChange(state.record, false);
        clock.after(between(minDownMs, maxDownMs), () => start(state, states.indexOf(state)));
    }

    function begin(state: EngineState, call: EngineCall): void {
        if (!state.calls.has(call)) {
            return;
        }
        const harmful = call.parts.find(options.isHarmful);
        if (harmful !== undefined) {
            const { startedAtMs } = state.record;
            clock.after(between(minHarmMs, maxHarmMs), () => {
                if (state.isAlive && state.record.startedAtMs === startedAtMs) {
                    options.onHarmfulEnd(harmful);
                    end(state);
                }
            });
            return;
        }
        call.onBegin();
        clock.after(between(minAnswerMs, maxAnswerMs), () => {
            if (state.calls.delete(call)) {
                const isLost = random() < options.lostAnswers();
                (isLost ? call.onConnectionEnd : call.onAnswer)();
            }
        });
    }

    return {
        list: () => states.filter(state => state.isAlive).map(state => state.record),
        isListening: address => states.some(state => state.isAlive && state.record.address === address),
        arrive: (record, call) => {
            const state = states.find(one => one.record.address === record.address);
            if (state === undefined || !state.isAlive) {
                return "refused";
            }
            if (state.record.id !== record.id) {
                return "replaced";
            }
            if (state.calls.size >= options.slots) {
                return "busy";
            }
            state.calls.add(call);
            state.prefilledMs = Math.max(state.prefilledMs, clock.now()) + call.promptTokens / tokensPerMs;
            clock.after(state.prefilledMs - clock.now(), () => begin(state, call));
            return "accepted";
        },
        end: address => states.filter(state => state.record.address === address).forEach(end),
        resetConnections: share => {
            for (const state of states) {
                for (const call of [...state.calls].filter(() => random() < share)) {
                    state.calls.delete(call);
                    call.onConnectionEnd();
                }
            }
        },
        countEnds: () => ends,
    };
}
