/**
 * @module
 * Steps on the stop of an instance whose process does not run for a while: what has arrived in that time is known only once it
 * is read.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createShutdown } from "../../src/core/shutdown/createShutdown.js";
import { createLagMeter } from "../../src/core/time/createLagMeter.js";
import { readArrived } from "../../src/io/_lib/readArrived.js";
import { runShutdown } from "../../src/io/shutdown/runShutdown.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface StopOutcome {
    readonly read: number;
    /** Requests that had arrived and were not answered when connections closed. */
    readonly unansweredAtClose: number;
}

const outcomes = new WeakMap<SiteWorld, StopOutcome>();

const graceMs = 8_000;

/** Requests that arrive while the process does not run. */
const arrivingRequests = 3;

When(
    "an instance stops and its process does not run for {int} ms just before it closes connections",
    async function(this: SiteWorld, haltMs: number) {
        let nowMs = 0;
        let hasHalted = false;
        let arrived = 0;
        let inProgress = 0;
        let read = 0;
        let unansweredAtClose = 0;
        const shutdown = createShutdown({
            graceMs,
            mayBeListed: () => true,
            hasServingPeer: () => true,
        });
        shutdown.begin(nowMs);
        await runShutdown({
            clock: {
                now: () => nowMs,
                wallNow: () => nowMs,
                after: (delayMs, action) => {
                    nowMs += delayMs;
                    inProgress = 0;
                    if (shutdown.phase() === "refusing" && !hasHalted) {
                        hasHalted = true;
                        nowMs += haltMs;
                        arrived = arrivingRequests;
                    }
                    action();
                    return () => undefined;
                },
            },
            shutdown,
            readArrived: () => {
                inProgress += arrived;
                read += arrived;
                arrived = 0;
                return Promise.resolve(true);
            },
            readLoad: () => ({ requests: inProgress, connections: 0, hasDuties: false }),
            refuseLate: () => undefined,
            stopRequests: () => undefined,
            holdConnections: () => () => undefined,
            stopListening: () => undefined,
            closeCallers: () => {
                unansweredAtClose = arrived + inProgress;
            },
        });
        outcomes.set(this, { read, unansweredAtClose });
    },
);

Then("each request that arrived in that time was read before connections closed", function(this: SiteWorld) {
    assert.deepEqual(outcomes.get(this), { read: arrivingRequests, unansweredAtClose: 0 });
});

/** An end of a stop and when it was done, in milliseconds from the order. */
interface StopEnd {
    readonly name: string;
    readonly atMs: number;
}

const stopEnds = new WeakMap<SiteWorld, readonly StopEnd[]>();

interface LateProcess {
    /** Adds the time that passes until a timer runs that was due at `dueMs`. */
    readonly holdUp: (dueMs: number) => number;
    /** Time of each turn of the event loop in which connections are read, in milliseconds. */
    readonly turnMs: number;
    /** Connections that are accepted in each turn. */
    readonly connectionsPerTurn: number;
    /** Counts the accepted connections in place of these. */
    readonly countAccepted?: () => number;
    /** Called when connections are closed. */
    readonly onClose?: () => void;
}

/** Stops an instance whose only request never ends by itself. */
async function playEnds(late: LateProcess): Promise<readonly StopEnd[]> {
    const ends: StopEnd[] = [];
    let nowMs = 0;
    let accepted = 0;
    let inProgress = 1;
    const lag = createLagMeter();
    const shutdown = createShutdown({
        graceMs,
        readLagMs: lag.longestMs,
        mayBeListed: () => true,
        hasServingPeer: () => true,
    });
    shutdown.begin(nowMs);
    await runShutdown({
        clock: {
            now: () => nowMs,
            wallNow: () => nowMs,
            after: (delayMs, action) => {
                nowMs = late.holdUp(nowMs + delayMs);
                action();
                return () => undefined;
            },
        },
        shutdown,
        recordLag: lateMs => lag.record(lateMs, nowMs),
        readArrived: arrival =>
            readArrived(() => {
                nowMs += late.turnMs;
                accepted += late.connectionsPerTurn;
                return late.countAccepted?.() ?? accepted;
            }, arrival),
        readLoad: () => ({ requests: inProgress, connections: 1, hasDuties: false }),
        refuseLate: () => undefined,
        stopRequests: () => {
            inProgress = 0;
            ends.push({ name: "answers", atMs: nowMs });
        },
        holdConnections: () => () => undefined,
        stopListening: () => undefined,
        closeCallers: () => {
            ends.push({ name: "closes", atMs: nowMs });
            late.onClose?.();
        },
    });
    return [...ends, { name: "end", atMs: nowMs }];
}

When(
    "an instance with a request in progress stops while callers connect in each turn of {int} ms",
    async function(this: SiteWorld, turnMs: number) {
        // Time passes twice a turn: the number of connections is read twice.
        stopEnds.set(this, await playEnds({ holdUp: dueMs => dueMs, turnMs: turnMs / 2, connectionsPerTurn: 1 }));
    },
);

When(
    "an instance with a request in progress stops and its process does not run from {int} to {int} ms",
    async function(this: SiteWorld, fromMs: number, toMs: number) {
        const holdUp = (dueMs: number) => dueMs >= fromMs && dueMs < toMs ? toMs : dueMs;
        stopEnds.set(this, await playEnds({ holdUp, turnMs: 0, connectionsPerTurn: 0 }));
    },
);

When(
    "an instance with a request in progress stops and its process does everything {int} ms late",
    async function(this: SiteWorld, lateMs: number) {
        stopEnds.set(
            this,
            await playEnds({ holdUp: dueMs => dueMs + lateMs, turnMs: 0, connectionsPerTurn: 0 }),
        );
    },
);

Then(
    "it answers, closes its connections and ends in this order before it would be killed",
    function(this: SiteWorld) {
        const ends = stopEnds.get(this)!;
        assert.deepEqual(ends.map(end => end.name), ["answers", "closes", "end"]);
        assert.ok(ends.every(end => end.atMs < graceMs), JSON.stringify(ends));
    },
);

const acceptedAtClose = new WeakMap<SiteWorld, number>();

When(
    "an instance stops and its process does not run from {int} to {int} ms, in which {int} callers connect",
    async function(this: SiteWorld, fromMs: number, toMs: number, callers: number) {
        let waiting = 0;
        let accepted = 0;
        const acceptNext = () => {
            if (waiting > 0) {
                waiting -= 1;
                accepted += 1;
                setImmediate(acceptNext);
            }
        };
        const holdUp = (dueMs: number) => {
            if (dueMs < fromMs || dueMs >= toMs) {
                return dueMs;
            }
            waiting = callers;
            setImmediate(acceptNext);
            return toMs;
        };
        await playEnds({
            holdUp,
            turnMs: 0,
            connectionsPerTurn: 0,
            countAccepted: () => accepted,
            onClose: () => acceptedAtClose.set(this, accepted),
        });
    },
);

Then("{int} connections are accepted before it closes them", function(this: SiteWorld, connections: number) {
    assert.equal(acceptedAtClose.get(this), connections);
});
