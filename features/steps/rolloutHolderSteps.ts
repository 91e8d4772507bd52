/**
 * @module
 * Steps of an instance that rolls out weights on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createUpstreamUseTracker } from "../../src/core/placement/createUpstreamUseTracker.js";
import type { RecordStore, StoreFailure } from "../../src/core/ports/recordStore.js";
import { createUpstreamRegistry } from "../../src/core/registry/createUpstreamRegistry.js";
import { createShutdown, type Shutdown } from "../../src/core/shutdown/createShutdown.js";
import { computeOutdatedLimitMs } from "../../src/core/weights/computeOutdatedLimitMs.js";
import { createRolloutLease, unknownEra } from "../../src/core/weights/createRolloutLease.js";
import { createWeightsView } from "../../src/core/weights/createWeightsView.js";
import { runRollout } from "../../src/io/weights/runRollout.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface HolderFixture {
    readonly clock: VirtualClock;
    /** Engines that received an order. */
    readonly ordered: string[];
    isListening: boolean;
}

const fixtures = new WeakMap<SiteWorld, HolderFixture>();
const model = "easy-read";
const failure: StoreFailure = { kind: "failed", cause: "connection", reason: "not used" };
const weightsLimitMs = 8_000;
const allLoadedLimitMs = 11_000;
const graceMs = 8_000;
const stepMs = 20;

/** A lease topic without records. */
function createEmptyTopic(): RecordStore {
    let end = 0;
    return {
        readNewest: () => Promise.resolve(failure),
        readKeyed: () => Promise.resolve(failure),
        readPlain: () => Promise.resolve({ kind: "records", era: unknownEra, records: [], next: end, end }),
        appendAt: () => {
            end += 1;
            return Promise.resolve({ kind: "appended", era: unknownEra, offset: end - 1 });
        },
        putKeyed: () => Promise.resolve(failure),
        close: () => undefined,
    };
}

/** Starts an instance with an engine that has older weights. */
function startInstance(world: SiteWorld, clock: VirtualClock, shutdown: Shutdown, isListening: boolean): void {
    const fixture: HolderFixture = { clock, ordered: [], isListening };
    const registry = createUpstreamRegistry(() => undefined);
    registry.applyList([{
        id: "engine-1",
        service: "adapt",
        address: "127.0.0.1:1",
        failureDomain: "domain",
        isDraining: false,
        slots: 1,
        startedAtMs: 1,
        weights: [{ model, version: 1 }],
        acceptedOrders: 0,
    }], clock.now());
    const weights = createWeightsView();
    weights.recordTarget({ model, version: 2, sinceMs: clock.now(), isObserved: true });
    runRollout({
        clock,
        instance: "entry-1",
        store: createEmptyTopic(),
        leaseTopic: "lease",
        lease: createRolloutLease({ instance: "entry-1", separationMs: 3_000 }),
        registry,
        weights,
        use: createUpstreamUseTracker(),
        engines: {
            readState: () => Promise.resolve({ version: 1, isBusy: false, acceptedOrders: 0 }),
            order: ({ engine }) => {
                fixture.ordered.push(engine.id);
                return Promise.resolve("accepted");
            },
        },
        listLive: () => [],
        isLeaving: shutdown.isLeaving,
        dutyTimeMs: () => shutdown.dutyTimeMs(clock.now()),
        outdatedLimitMs: computeOutdatedLimitMs(weightsLimitMs),
        allLoadedLimitMs,
        isListening: () => fixture.isListening,
        checkPause: () => undefined,
        isStoreFresh: () => true,
        notifyPeers: () => undefined,
        onChange: () => undefined,
        writeLog: () => undefined,
        onOrder: () => undefined,
        onClaim: () => undefined,
    });
    fixtures.set(world, fixture);
}

function createStop(mayBeListed: boolean): Shutdown {
    return createShutdown({ graceMs, mayBeListed: () => mayBeListed, hasServingPeer: () => false });
}

Given(
    "an instance with an engine to load, whose addresses the process before it still holds",
    function(this: SiteWorld) {
        startInstance(this, createVirtualClock(1), createStop(true), false);
    },
);

Given(
    "a lone instance with an engine to load that was told to stop {int} ms ago and had {}",
    function(this: SiteWorld, stoppedMs: number, state: string) {
        const clock = createVirtualClock(1);
        const shutdown = createStop(state === "served");
        shutdown.begin(clock.now());
        clock.runUntil(stoppedMs);
        startInstance(this, clock, shutdown, true);
    },
);

When("it has run for {int} ms", async function(this: SiteWorld, durationMs: number) {
    const { clock } = fixtures.get(this)!;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
        clock.runUntil(clock.now() + stepMs);
        await setImmediate();
    }
});

When("it listens on its addresses", function(this: SiteWorld) {
    fixtures.get(this)!.isListening = true;
});

Then("it has sent no order", function(this: SiteWorld) {
    assert.deepEqual(fixtures.get(this)!.ordered, []);
});

Then("it has sent an order", function(this: SiteWorld) {
    assert.ok(fixtures.get(this)!.ordered.length > 0);
});
