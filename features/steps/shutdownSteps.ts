/**
 * @module
 * Steps on the decisions of an instance that is told to stop, on virtual times, and on stops of real processes.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { StopPlan } from "../../bench/faults/platform/playPlan.js";
import { playStops } from "../../bench/faults/platform/playStops.js";
import { stopShapes } from "../../bench/faults/platform/stopShapes.js";
import { createPrompt, createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createRouteDurations } from "../../src/core/shutdown/createRouteDurations.js";
import { createShutdown, type ShutdownLoad, type ShutdownPhase } from "../../src/core/shutdown/createShutdown.js";
import { createLagMeter, type LagMeter } from "../../src/core/time/createLagMeter.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface StoppingInstance {
    readonly shutdown: ReturnType<typeof createShutdown>;
    hasServingPeer: boolean;
    mayBeListed: boolean;
    hasDuties: boolean;
    lagMs: number;
}

const instances = new WeakMap<SiteWorld, StoppingInstance>();
const meters = new WeakMap<SiteWorld, LagMeter>();

/** Time of the order to stop, in milliseconds. */
const stopMs = 60_000;

const pollMs = 40;

function getInstance(world: SiteWorld): StoppingInstance {
    const instance = instances.get(world);
    assert.ok(instance !== undefined);
    return instance;
}

function createInstance(world: SiteWorld, graceMs: number, took: string, outputTokens: number): void {
    const durations = createRouteDurations();
    if (took !== "unknown") {
        const beganMs = stopMs - 20_000;
        const timing = durations.begin(createProxyRequest("stream").route.name, outputTokens, beganMs);
        timing.start(beganMs);
        timing.end(beganMs + Number(took), true);
    }
    const instance: StoppingInstance = {
        shutdown: createShutdown({
            graceMs,
            durations,
            readLagMs: () => instance.lagMs,
            mayBeListed: () => instance.mayBeListed,
            hasServingPeer: () => instance.hasServingPeer,
        }),
        hasServingPeer: true,
        mayBeListed: true,
        hasDuties: false,
        lagMs: 0,
    };
    instances.set(world, instance);
}

Given(
    "an instance with a grace period of {int} ms whose requests of a route took {word} ms",
    function(this: SiteWorld, graceMs: number, took: string) {
        createInstance(this, graceMs, took, 0);
    },
);

Given(
    "an instance with a grace period of {int} ms whose streams of {int} tokens took {word} ms",
    function(this: SiteWorld, graceMs: number, outputTokens: number, took: string) {
        createInstance(this, graceMs, took, outputTokens);
    },
);

Given(
    "an instance with a grace period of {int} ms that saw the order to stop {int} ms late at most",
    function(this: SiteWorld, graceMs: number, orderLagMs: number) {
        createInstance(this, graceMs, "10000", 0);
        const instance = getInstance(this);
        instance.lagMs = orderLagMs;
        instance.shutdown.begin(stopMs);
        instance.lagMs = 0;
    },
);

When("it does late what is due, by {int} ms", function(this: SiteWorld, lagMs: number) {
    getInstance(this).lagMs = lagMs;
});

Then(
    "its answers are due after {int} ms, closes after {int} ms, and its exit after {int} ms",
    function(this: SiteWorld, answersMs: number, closesMs: number, exitMs: number) {
        const { answersDueMs, closeDueMs, exitDueMs } = getInstance(this).shutdown.ends(stopMs);
        const roundedMs = [answersDueMs, closeDueMs, exitDueMs].map(dueMs => Math.round(dueMs - stopMs));
        assert.deepEqual(roundedMs, [answersMs, closesMs, exitMs]);
    },
);

Then("it ends its answers {int} ms after the order", function(this: SiteWorld, dueMs: number) {
    assert.equal(getInstance(this).shutdown.nextDueMs(stopMs) - stopMs, dueMs);
});

Given(
    "a process that did late what was due, by {int} ms at {int} ms and by {int} ms at {int} ms",
    function(this: SiteWorld, firstLagMs: number, firstMs: number, secondLagMs: number, secondMs: number) {
        const meter = createLagMeter();
        meter.record(firstLagMs, firstMs);
        meter.record(secondLagMs, secondMs);
        meters.set(this, meter);
    },
);

Then("its delay is {int} ms at {int} ms", function(this: SiteWorld, lagMs: number, atMs: number) {
    assert.equal(meters.get(this)?.longestMs(atMs), lagMs);
});

Given("it has never been ready", function(this: SiteWorld) {
    getInstance(this).mayBeListed = false;
});

When("it is told to stop", function(this: SiteWorld) {
    getInstance(this).shutdown.begin(stopMs);
});

When("it is told to stop once more {int} ms later", function(this: SiteWorld, afterMs: number) {
    getInstance(this).shutdown.begin(stopMs + afterMs);
});

When("it is told to stop while it sends the orders of a rollout", function(this: SiteWorld) {
    const instance = getInstance(this);
    instance.hasDuties = true;
    instance.shutdown.begin(stopMs);
});

When("no other instance serves", function(this: SiteWorld) {
    getInstance(this).hasServingPeer = false;
});

Then(
    "a request with a deadline of {int} ms that arrives {int} ms later is {word}",
    function(this: SiteWorld, deadlineMs: number, afterMs: number, result: string) {
        const nowMs = stopMs + afterMs;
        const req = createProxyRequest("stream", { arrivedMs: nowMs, deadlineMs: nowMs + deadlineMs });
        const refusal = getInstance(this).shutdown.findRefusal(req, nowMs);
        assert.equal(refusal?.kind ?? "taken", result === "refused" ? "stopping" : result);
    },
);

Then(
    "a stream of {int} tokens that arrives {int} ms later is {word}",
    function(this: SiteWorld, outputTokens: number, afterMs: number, result: string) {
        const nowMs = stopMs + afterMs;
        const prompt = createPrompt({ outputTokens });
        const req = createProxyRequest("stream", { prompt, arrivedMs: nowMs, deadlineMs: nowMs + 30_000 });
        const refusal = getInstance(this).shutdown.findRefusal(req, nowMs);
        assert.equal(refusal === undefined ? "taken" : "refused", result);
    },
);

function checkRetryAfter(world: SiteWorld, afterMs: number, retryAfterMs: number): void {
    const nowMs = stopMs + afterMs;
    const req = createProxyRequest("stream", { arrivedMs: nowMs, deadlineMs: nowMs + 30_000 });
    assert.equal(getInstance(world).shutdown.findRefusal(req, nowMs)?.retryAfterMs, retryAfterMs);
}

Then(
    "a request that is refused {int} ms later is sent to another instance after {int} ms",
    function(this: SiteWorld, afterMs: number, retryAfterMs: number) {
        checkRetryAfter(this, afterMs, retryAfterMs);
    },
);

Then(
    "a request that is refused {int} ms later is to come back after {int} ms",
    function(this: SiteWorld, afterMs: number, retryAfterMs: number) {
        checkRetryAfter(this, afterMs, retryAfterMs);
    },
);

/** Plays the stop and returns when each phase was entered, in milliseconds from the order. */
function playPhases(instance: StoppingInstance, load: Pick<ShutdownLoad, "requests" | "connections">): Map<
    ShutdownPhase,
    number
> {
    const entered = new Map<ShutdownPhase, number>();
    for (let atMs = 0; instance.shutdown.phase() !== "ended" && atMs < 20_000; atMs += pollMs) {
        const before = instance.shutdown.phase();
        const phase = instance.shutdown.advance(stopMs + atMs, { ...load, hasDuties: instance.hasDuties });
        if (phase !== before) {
            entered.set(phase, atMs);
        }
    }
    return entered;
}

/** A phase is noticed at the first check after it is due. */
function checkEntered(enteredMs: number | undefined, dueMs: number): void {
    assert.ok(enteredMs !== undefined && enteredMs >= dueMs && enteredMs < dueMs + pollMs, `${enteredMs}`);
}

Then(
    /^with (\d+) requests? in progress it refuses requests from (\d+) ms on$/,
    function(this: SiteWorld, requests: string, dueMs: string) {
        const instance = getInstance(this);
        // The scenarios ask about several loads, each on a stop of its own.
        const copy = createShutdown({
            graceMs: 8_000,
            durations: createRouteDurations(),
            mayBeListed: () => instance.mayBeListed,
            hasServingPeer: () => instance.hasServingPeer,
        });
        copy.begin(stopMs);
        const entered = playPhases({ ...instance, shutdown: copy }, { requests: Number(requests), connections: 0 });
        checkEntered(entered.get("refusing"), Number(dueMs));
    },
);

Then(
    /^with 1 request in progress and its connection open it closes connections from (\d+) ms on and ends at (\d+) ms$/,
    function(this: SiteWorld, closesMs: string, endsMs: string) {
        const entered = playPhases(getInstance(this), { requests: 1, connections: 1 });
        checkEntered(entered.get("closing"), Number(closesMs));
        checkEntered(entered.get("ended"), Number(endsMs));
    },
);

Then("the last lines of its log have until {int} ms", function(this: SiteWorld, dueMs: number) {
    assert.equal(getInstance(this).shutdown.ends(stopMs).exitDueMs - stopMs, dueMs);
});

/** Time of a series of stops at random, in seconds. */
const mixedSeconds = 15;

Then(
    "the stops {string} of {int} processes with seed {int} break no promise",
    { timeout: 120_000 },
    async function(this: SiteWorld, plan: string, count: number, seed: number) {
        const { violations } = await playStops({
            plan: plan as StopPlan,
            shape: { ...stopShapes["small"]!, instances: count },
            seed,
            statesEra: true,
            gapMs: 200,
            seconds: mixedSeconds,
            program: "dist/platform/main.js",
            busyProcesses: 0,
        });
        assert.deepEqual(violations, []);
    },
);
