/**
 * @module
 * Steps on the decisions of an instance that is told to stop, on virtual times, and on stops of real processes.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { logReaders } from "../../bench/faults/platform/createLogPipes.js";
import type { StopPlan } from "../../bench/faults/platform/playPlan.js";
import { playStops } from "../../bench/faults/platform/playStops.js";
import { bundledProgram } from "../../bench/faults/platform/readDeployArguments.js";
import { stopShapes } from "../../bench/faults/platform/stopShapes.js";
import { createProxyRequest } from "../../bench/support/proxyFixtures.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import { createShutdown, type ShutdownLoad, type ShutdownPhase } from "../../src/core/shutdown/createShutdown.js";
import { createLagMeter, type LagMeter } from "../../src/core/time/createLagMeter.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface StoppingInstance {
    readonly shutdown: ReturnType<typeof createShutdown>;
    hasServingPeer: boolean;
    mayBeListed: boolean;
    hasDuties: boolean;
    lagMs: number;
    /** Requests that the instance was asked about, in order. */
    readonly asked: ProxyRequest[];
}

const instances = new WeakMap<SiteWorld, StoppingInstance>();
const meters = new WeakMap<SiteWorld, LagMeter>();

/** Time of the order to stop, in milliseconds. */
const stopMs = 60_000;

const pollMs = 40;

/** Time after the order from which on requests are refused that have no promise, in milliseconds. */
const minRefusedMs = 2_700;

function getInstance(world: SiteWorld): StoppingInstance {
    const instance = instances.get(world);
    assert.ok(instance !== undefined);
    return instance;
}

function createInstance(world: SiteWorld, graceMs: number): StoppingInstance {
    const instance: StoppingInstance = {
        shutdown: createShutdown({
            graceMs,
            readLagMs: () => instance.lagMs,
            mayBeListed: () => instance.mayBeListed,
            hasServingPeer: () => instance.hasServingPeer,
        }),
        hasServingPeer: true,
        mayBeListed: true,
        hasDuties: false,
        lagMs: 0,
        asked: [],
    };
    instances.set(world, instance);
    return instance;
}

Given("an instance with a grace period of {int} ms", function(this: SiteWorld, graceMs: number) {
    createInstance(this, graceMs);
});

Given(
    "an instance with a grace period of {int} ms that saw the order to stop {int} ms late at most",
    function(this: SiteWorld, graceMs: number, orderLagMs: number) {
        const instance = createInstance(this, graceMs);
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

interface AskedRequest {
    readonly deadlineMs: number;
    /** When it arrived, in milliseconds after the order. */
    readonly arrivedAfterMs: number;
    /** When the instance decides, in milliseconds after the order. */
    readonly askedAfterMs: number;
    readonly mayHaveRun: boolean;
}

function createAsked(asked: AskedRequest): ProxyRequest {
    const arrivedMs = stopMs + asked.arrivedAfterMs;
    return createProxyRequest("stream", { arrivedMs, deadlineMs: arrivedMs + asked.deadlineMs });
}

function findRefusalKind(world: SiteWorld, asked: AskedRequest): string | undefined {
    const instance = getInstance(world);
    const req = createAsked(asked);
    instance.asked.push(req);
    return instance.shutdown.findRefusal(req, asked.mayHaveRun, stopMs + asked.askedAfterMs)?.kind;
}

Then("the request that was taken first still is", function(this: SiteWorld) {
    const { shutdown, asked } = getInstance(this);
    assert.equal(shutdown.findRefusal(asked[0]!, false, stopMs + minRefusedMs), undefined);
});

When("the request that was taken first has ended", function(this: SiteWorld) {
    const { shutdown, asked } = getInstance(this);
    shutdown.release(asked[0]!);
});

Then(
    "a request with a deadline of {int} ms that arrives {int} ms later is {word}",
    function(this: SiteWorld, deadlineMs: number, afterMs: number, result: string) {
        const asked = { deadlineMs, arrivedAfterMs: afterMs, askedAfterMs: afterMs, mayHaveRun: false };
        assert.equal(findRefusalKind(this, asked) ?? "taken", result === "refused" ? "stopping" : result);
    },
);

Then(
    "a request with a deadline of {int} ms that came {int} ms before waits after {int} ms: {word}",
    function(this: SiteWorld, deadlineMs: number, beforeMs: number, afterMs: number, result: string) {
        const asked = { deadlineMs, arrivedAfterMs: -beforeMs, askedAfterMs: afterMs, mayHaveRun: false };
        assert.equal(findRefusalKind(this, asked), result === "yes" ? undefined : "stopping");
    },
);

Then(
    "a request with a deadline of {int} ms that may have run is placed again after {int} ms: {word}",
    function(this: SiteWorld, deadlineMs: number, afterMs: number, result: string) {
        const asked = { deadlineMs, arrivedAfterMs: 0, askedAfterMs: afterMs, mayHaveRun: true };
        assert.equal(findRefusalKind(this, asked), result === "yes" ? undefined : "stopping");
    },
);

function checkRetryAfter(world: SiteWorld, afterMs: number, retryAfterMs: number): void {
    const nowMs = stopMs + afterMs;
    const req = createProxyRequest("stream", { arrivedMs: nowMs, deadlineMs: nowMs + 30_000 });
    assert.equal(getInstance(world).shutdown.findRefusal(req, false, nowMs)?.retryAfterMs, retryAfterMs);
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

const stopOptions = {
    statesEra: true,
    troubles: { kinds: [] },
    gapMs: 200,
    seconds: mixedSeconds,
    program: bundledProgram,
    logReaders,
    busyProcesses: 0,
} as const;

Then(
    "the stops {string} of {int} processes with seed {int} break no promise",
    { timeout: 120_000 },
    async function(this: SiteWorld, plan: string, count: number, seed: number) {
        const { violations } = await playStops({
            ...stopOptions,
            plan: plan as StopPlan,
            shape: { ...stopShapes["small"]!, instances: count },
            seed,
        });
        assert.deepEqual(violations, []);
    },
);

Then(
    "the stop of one of {int} processes whose engines stand still meanwhile breaks no promise with seed {int}",
    { timeout: 120_000 },
    async function(this: SiteWorld, count: number, seed: number) {
        const { violations } = await playStops({
            ...stopOptions,
            plan: "alone",
            shape: { ...stopShapes["limitedInstances"]!, instances: count, callersPerInstance: 40 },
            seed,
            statesEra: false,
            troubles: { kinds: ["still"], afterMs: 4_500, lastsMs: 3_000, share: 1 },
        });
        assert.deepEqual(violations, []);
    },
);
