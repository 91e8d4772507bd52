/**
 * @module
 * Steps on the stop of an instance whose process does not run for a while: what has arrived in that time is known only once it
 * is read.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createShutdown } from "../../src/core/shutdown/createShutdown.js";
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
                return Promise.resolve();
            },
            readLoad: () => ({ requests: inProgress, connections: 0, hasDuties: false }),
            refuseLate: () => undefined,
            stopRequests: () => undefined,
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
