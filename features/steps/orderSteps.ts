/**
 * @module
 * Steps of orders and rollouts on the virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate as flush } from "node:timers/promises";
import { err, ok } from "true-myth/result";
import {
    createFixtureChange,
    createFixtureModel,
    findNewestCatalogue,
    type OrderFixture,
    startOrderFixture,
} from "../../bench/support/orderFixture.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { findEntry } from "../../src/core/catalogue/catalogue.js";
import { applyLeasePage, isLeaseExpired, startLeaseView } from "../../src/core/leases/leaseView.js";
import { listServingEngines } from "../../src/core/orders/weightsVersions.js";
import { createWeightStoreView } from "../../src/io/orders/createWeightStoreView.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface State {
    readonly fixture: OrderFixture;
    minServing: number;
    wrongRoutes: number;
}

const states = new WeakMap<SiteWorld, State>();
const orderId = "operator-order";

function getState(world: SiteWorld): State {
    return states.get(world)!;
}

/** Records the number of serving engines and of wrong routes after each step of the clock. */
function observe(state: State): void {
    const { fixture } = state;
    const { loads } = findNewestCatalogue(fixture);
    const serving = fixture.addresses.filter((address, index) =>
        !loads.has(`engine-${index + 1}`)
        && ["v1", "v2"].some(version => fixture.engines.isLoaded(address, `easy-read@${version}`))
    );
    state.minServing = Math.min(state.minServing, serving.length);
    for (const { follower } of fixture.instances) {
        for (const version of ["v1", "v2"]) {
            const routed = listServingEngines(follower.current(), "easy-read", version);
            const wrong = routed.filter(one => !fixture.engines.isLoaded(one.address, `easy-read@${version}`));
            state.wrongRoutes += wrong.length;
        }
    }
}

async function pass(state: State, durationMs: number): Promise<void> {
    await state.fixture.advance(durationMs, () => observe(state));
}

async function start(world: SiteWorld, engines: number, hasWeights = true): Promise<void> {
    const fixture = await startOrderFixture({ seed: 62, engines, hasWeights: () => hasWeights });
    world.cleanups.push(fixture.stop);
    states.set(world, { fixture, minServing: engines, wrongRoutes: 0 });
}

function changeVersion(state: State, changeId: string, version: string): void {
    const { entries } = findNewestCatalogue(state.fixture);
    const change = createFixtureChange(changeId, [createFixtureModel(version)], key => entries.get(key)?.revision ?? 0);
    void state.fixture.log.append("catalogue", [change]);
}

Given("engines that serve a model with {int} upstreams", async function(this: SiteWorld, engines: number) {
    await start(this, engines);
});

Given(
    "engines that serve a model with {int} upstreams and a weight store without the new version",
    async function(this: SiteWorld, engines: number) {
        await start(this, engines, false);
    },
);

Given("engine {int} runs requests continuously", function(this: SiteWorld, engine: number) {
    const { fixture } = getState(this);
    fixture.engines.setRunning(fixture.addresses[engine - 1]!, 3);
});

Given("engine {int} is unresponsive", function(this: SiteWorld, engine: number) {
    const { fixture } = getState(this);
    fixture.engines.setUnresponsive(fixture.addresses[engine - 1]!, true);
});

When("the model's weights version changes", function(this: SiteWorld) {
    changeVersion(getState(this), "change-forward", "v2");
});

When("it changes back after {int} seconds", async function(this: SiteWorld, seconds: number) {
    await pass(getState(this), seconds * 1_000);
    changeVersion(getState(this), "change-backward", "v1");
});

When("the holder is permanently stopped after {int} seconds", async function(this: SiteWorld, seconds: number) {
    const state = getState(this);
    await pass(state, seconds * 1_000);
    const last = state.fixture.log.listRecords("leases").at(-1);
    const { holder } = JSON.parse(last!.payload) as { holder: string; };
    state.fixture.instances[Number(holder.at(-1)) - 1]!.stop();
});

When("{int} seconds pass", async function(this: SiteWorld, seconds: number) {
    await pass(getState(this), seconds * 1_000);
});

When("{int} seconds pass without observation", async function(this: SiteWorld, seconds: number) {
    await getState(this).fixture.advance(seconds * 1_000);
});

function giveOrder(state: State, engine: number, fields: Readonly<Record<string, string>>): void {
    const order = { model: "", weightsVersion: "", role: "", ...fields };
    const upstream = `engine-${engine}`;
    const givenMs = state.fixture.clock.wallNow();
    const record = { kind: "order", orderId, author: "operator", upstream, givenMs, ...order };
    void state.fixture.log.append("catalogue", [JSON.stringify(record)]);
}

When(
    "an operator orders engine {int} to load version {string}",
    function(this: SiteWorld, engine: number, version: string) {
        giveOrder(getState(this), engine, { action: "load", model: "easy-read", weightsVersion: version });
    },
);

When("an operator orders engine {int} to role", function(this: SiteWorld, engine: number) {
    giveOrder(getState(this), engine, { action: "role", role: "prefill" });
});

When("an operator orders engine {int} to drain", function(this: SiteWorld, engine: number) {
    giveOrder(getState(this), engine, { action: "drain" });
});

When("an operator orders engine {int} to unload", function(this: SiteWorld, engine: number) {
    giveOrder(getState(this), engine, { action: "unload", model: "easy-read", weightsVersion: "v1" });
});

async function waitUntilDone(state: State, seconds: number): Promise<void> {
    const isDone = () => findNewestCatalogue(state.fixture).entries.get("model/easy-read")?.rollout === undefined;
    for (let passed = 0; passed < seconds && !isDone(); passed += 1) {
        await pass(state, 1_000);
    }
    assert.ok(isDone(), JSON.stringify(findNewestCatalogue(state.fixture).entries.get("model/easy-read")));
    await pass(state, 3_000);
}

Then(
    "within {int} seconds every engine serves the new version and the old one is unloaded",
    async function(this: SiteWorld, seconds: number) {
        const state = getState(this);
        await pass(state, 1_000);
        await waitUntilDone(state, seconds);
        for (const address of state.fixture.addresses) {
            assert.equal(state.fixture.engines.isLoaded(address, "easy-read@v2"), true);
            assert.equal(state.fixture.engines.isLoaded(address, "easy-read@v1"), false);
        }
        assert.ok(state.fixture.engines.maxLoading() <= 2);
    },
);

Then(
    "within {int} seconds every engine serves the old version again",
    async function(this: SiteWorld, seconds: number) {
        const state = getState(this);
        await pass(state, 1_000);
        await waitUntilDone(state, seconds);
        const serving = listServingEngines(findNewestCatalogue(state.fixture), "easy-read", "v1");
        assert.equal(serving.length, state.fixture.addresses.length);
        assert.ok(serving.every(one => state.fixture.engines.isLoaded(one.address, "easy-read@v1")));
        assert.equal(state.wrongRoutes, 0);
    },
);

Then("the share of serving engines never fell below the model's", function(this: SiteWorld) {
    const state = getState(this);
    const share = findEntry(findNewestCatalogue(state.fixture), "model", "easy-read")!.minimumServingShare;
    assert.ok(state.minServing >= share * state.fixture.addresses.length, String(state.minServing));
    assert.ok(state.minServing < state.fixture.addresses.length);
});

Then("no request version was ever routed to an engine without it", function(this: SiteWorld) {
    assert.equal(getState(this).wrongRoutes, 0);
});

Then("a second lease was acquired", function(this: SiteWorld) {
    const numbers = new Set(getState(this).fixture.engines.effects.map(effect => effect.order.fencingNumber));
    assert.equal(numbers.size, 2);
});

Then("engine {int} still has the old weights and gets no new request", function(this: SiteWorld, engine: number) {
    const { fixture } = getState(this);
    assert.equal(fixture.engines.isLoaded(fixture.addresses[engine - 1]!, "easy-read@v1"), true);
    for (const version of ["v1", "v2"]) {
        const routed = listServingEngines(findNewestCatalogue(fixture), "easy-read", version).map(one => one.id);
        assert.equal(routed.includes(`engine-${engine}`), false);
    }
});

function assertOrder(state: State, outcome: string): void {
    assert.equal(findNewestCatalogue(state.fixture).orders.get(orderId)?.end?.outcome, outcome);
}

Then(
    "engine {int} has version {string} and the order is done",
    function(this: SiteWorld, engine: number, version: string) {
        const { fixture } = getState(this);
        assert.equal(fixture.engines.isLoaded(fixture.addresses[engine - 1]!, `easy-read@${version}`), true);
        assertOrder(getState(this), "done");
    },
);

Then("the order is {word}", function(this: SiteWorld, outcome: string) {
    assertOrder(getState(this), outcome);
});

Then("no engine received an order", function(this: SiteWorld) {
    assert.equal(getState(this).fixture.engines.effects.length, 0);
    assert.ok(getState(this).fixture.log.countAppends("leases") > 0);
});

Then("no lease was appended", function(this: SiteWorld) {
    assert.equal(getState(this).fixture.log.countAppends("leases"), 0);
});

Then(
    "a view that lost its records waits at least {int} seconds before it treats the lease as expired",
    (seconds: number) => {
        const view = applyLeasePage(startLeaseView(0, 0), { firstKept: 5, end: 5, records: [] }, 1_000);
        assert.equal(isLeaseExpired(view, seconds * 1_000), false);
        assert.equal(isLeaseExpired(view, 10 * seconds * 1_000), true);
        assert.equal(isLeaseExpired(startLeaseView(0, 0), 0), true);
    },
);

Then("a record that does not follow the last one is ignored", () => {
    const format = (session: string, follows: number) =>
        JSON.stringify({ kind: "lease", holder: "entry-1", session, sequence: 1, durationMs: 10_000, follows });
    const records = ["a", "b", "a"].map((session, offset) => ({
        offset,
        payload: format(session, offset === 1 ? -1 : offset - 1),
    }));
    const view = applyLeasePage(startLeaseView(0, 0), { firstKept: 0, end: 3, records }, 1_000);
    assert.deepEqual([view.last?.session, view.last?.fencingNumber, view.nextOffset], ["a", 0, 3]);
});

Then(
    "{int} lookups within a second read the weight store once, and a refused read backs off",
    async (lookups: number) => {
        const clock = createVirtualClock(1);
        let reads = 0;
        let isRefused = false;
        const store = createWeightStoreView(async () => {
            reads += 1;
            return isRefused ? err({ kind: "refused", detail: "too many" }) : ok(["v2"]);
        }, clock);
        async function lookUp(durationMs: number, count: number): Promise<void> {
            for (let lookup = 0; lookup < count; lookup += 1) {
                store.has("easy-read@v2");
                await flush();
                clock.runUntil(clock.now() + durationMs / count);
            }
        }
        await lookUp(1_000, lookups);
        assert.equal(reads, 1);
        assert.equal(store.has("easy-read@v2"), true);
        assert.equal(store.has("easy-read@v3"), false);
        isRefused = true;
        await lookUp(120_000, 120);
        assert.ok(reads <= 8, String(reads));
    },
);
