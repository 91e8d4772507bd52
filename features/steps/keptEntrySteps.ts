/**
 * @module
 * Steps on callers that stay at a leaving instance until it refuses their connections, while its process becomes slow; on a
 * virtual clock.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createShutdown } from "../../src/core/shutdown/createShutdown.js";
import { readArrived } from "../../src/io/_lib/readArrived.js";
import { runShutdown } from "../../src/io/shutdown/runShutdown.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** How the connections of callers ended. */
interface ConnectionEnds {
    accepted: number;
    /** Refused before the instance closed its connections: their callers know that nothing has run. */
    refused: number;
    /** Waited to be accepted when the instance stopped to listen. */
    reset: number;
    /** How often the instance was told to stop to listen before or after it closed its connections. */
    stops: number;
}

const outcomes = new WeakMap<SiteWorld, ConnectionEnds>();

const graceMs = 8_000;
/** Time from the answer on a caller's connection to its next one, in milliseconds. */
const connectMs = 200;

interface KeptEntryPlay {
    readonly callers: number;
    readonly hasServingPeer: boolean;
    /** Time of a turn of the event loop, which accepts one connection, until `slowFromMs` and from then on, in milliseconds. */
    readonly quickTurnMs: number;
    readonly slowTurnMs: number;
    readonly slowFromMs: number;
}

/** Stops an instance with a request in progress. */
async function playStop(play: KeptEntryPlay): Promise<ConnectionEnds> {
    const { callers, hasServingPeer, quickTurnMs, slowTurnMs, slowFromMs } = play;
    const ends: ConnectionEnds = { accepted: 0, refused: 0, reset: 0, stops: 0 };
    /** When each caller connects next; infinite while it waits for an answer, and once it has gone elsewhere. */
    const nextConnectMs = Array.from({ length: callers }, (_, caller) => caller * connectMs / callers);
    const waiting: number[] = [];
    const held: number[] = [];
    let isHolding = false;
    let nowMs = 0;
    let isListening = true;
    let nextTurn: NodeJS.Immediate | undefined;
    let inProgress = 1;

    function passTime(lastsMs: number): void {
        nowMs += lastsMs;
        nextConnectMs.forEach((atMs, caller) => {
            if (atMs <= nowMs) {
                nextConnectMs[caller] = Infinity;
                ends.refused += isListening ? 0 : 1;
                waiting.push(...isListening ? [caller] : []);
            }
        });
    }
    function answer(caller: number): void {
        nextConnectMs[caller] = nowMs + connectMs;
    }
    function turn(): void {
        passTime(nowMs < slowFromMs ? quickTurnMs : slowTurnMs);
        const caller = waiting.shift();
        if (caller !== undefined) {
            ends.accepted += 1;
            if (isHolding) {
                held.push(caller);
            }
            else {
                answer(caller);
            }
        }
        nextTurn = setImmediate(turn);
    }
    function stopListening(): void {
        isListening = false;
        ends.reset += waiting.splice(0).length;
    }
    const shutdown = createShutdown({ graceMs, mayBeListed: () => true, hasServingPeer: () => hasServingPeer });
    shutdown.begin(nowMs);
    let refusedBeforeClose = 0;
    await runShutdown({
        clock: {
            now: () => nowMs,
            wallNow: () => nowMs,
            after: (delayMs, action) => {
                passTime(delayMs);
                action();
                return () => undefined;
            },
        },
        shutdown,
        readArrived: async arrival => {
            nextTurn = setImmediate(turn);
            const isAllRead = await readArrived(() => ends.accepted, arrival);
            clearImmediate(nextTurn);
            return isAllRead;
        },
        holdConnections: () => {
            isHolding = true;
            return () => {
                isHolding = false;
                held.splice(0).forEach(answer);
            };
        },
        readLoad: () => ({ requests: inProgress, connections: 0, hasDuties: false }),
        refuseLate: () => undefined,
        stopRequests: () => {
            inProgress = 0;
        },
        stopListening: () => {
            ends.stops += 1;
            stopListening();
        },
        closeCallers: () => {
            refusedBeforeClose = ends.refused;
            stopListening();
        },
    });
    return { ...ends, refused: refusedBeforeClose };
}

When(
    "an instance stops while {int} callers stay at it, and its turns take {int} ms and from {int} ms on {int} ms",
    async function(this: SiteWorld, callers: number, quickTurnMs: number, slowFromMs: number, slowTurnMs: number) {
        outcomes.set(this, await playStop({ callers, hasServingPeer: true, quickTurnMs, slowFromMs, slowTurnMs }));
    },
);

When(
    "the last serving instance stops while {int} callers stay at it",
    async function(this: SiteWorld, callers: number) {
        const turns = { quickTurnMs: 1, slowTurnMs: 1, slowFromMs: 0 };
        outcomes.set(this, await playStop({ callers, hasServingPeer: false, ...turns }));
    },
);

Then("each connection was accepted, or refused so that {int} callers go elsewhere", function(this: SiteWorld, callers) {
    const { accepted, refused, reset } = outcomes.get(this)!;
    assert.ok(accepted > 0);
    assert.deepEqual({ refused, reset }, { refused: callers, reset: 0 });
});

Then("it accepts connections until it closes them", function(this: SiteWorld) {
    const { refused, stops } = outcomes.get(this)!;
    assert.deepEqual({ refused, stops }, { refused: 0, stops: 0 });
});
