/**
 * @module
 * Steps that check what goes on after an exception.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { createTable } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createCodec } from "../../platform/createCodec.js";
import { createEngineOrders } from "../../platform/createEngineOrders.js";
import { createPorts } from "../../platform/createPorts.js";
import { createStoreClient } from "../../platform/createStoreClient.js";
import { assembleViews } from "../../src/assemble/assembleViews.js";
import { runSteps } from "../../src/core/effects/runSteps.js";
import type { KeyedRecord, RecordStore } from "../../src/core/ports/recordStore.js";
import { createStoreEra } from "../../src/core/store/createStoreEra.js";
import { repeatEvery } from "../../src/core/time/repeatEvery.js";
import { createRouterMetrics } from "../../src/io/metrics/createRouterMetrics.js";
import { followPartEvents } from "../../src/io/parts/followPartEvents.js";
import { followTopic } from "../../src/io/store/followTopic.js";
import { createSettings } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface Fixture {
    readonly clock: VirtualClock;
    readonly records: KeyedRecord[];
    readonly received: string[];
    readonly errors: unknown[];
    runs: number;
}

const fixtures = new WeakMap<SiteWorld, Fixture>();

function createFixture(world: SiteWorld): Fixture {
    const fixture: Fixture = { clock: createVirtualClock(1), records: [], received: [], errors: [], runs: 0 };
    fixtures.set(world, fixture);
    return fixture;
}

function getFixture(world: SiteWorld): Fixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

/** Advances the clock over several reads. */
async function runFor(fixture: Fixture, durationMs: number): Promise<void> {
    const untilMs = fixture.clock.now() + durationMs;
    while (fixture.clock.now() < untilMs) {
        await setImmediate();
        fixture.clock.runUntil(fixture.clock.now() + 20);
    }
    await setImmediate();
}

function appendRecord(fixture: Fixture, key: string): void {
    fixture.records.push({ offset: fixture.records.length, key, value: Buffer.from(key) });
}

function createTopicStore(fixture: Fixture): RecordStore {
    const unused = () => Promise.reject(new Error("not used here"));
    const { records } = fixture;
    return {
        readNewest: () => Promise.resolve({ kind: "newest", era: 1, records: [...records], end: records.length }),
        readKeyed: (_, from) =>
            Promise.resolve({
                kind: "records",
                era: 1,
                records: records.slice(from),
                next: records.length,
                end: records.length,
            }),
        readPlain: unused,
        appendAt: unused,
        putKeyed: unused,
        close: () => undefined,
    };
}

Given("a topic whose next record makes its receiver throw", async function(this: SiteWorld) {
    const fixture = createFixture(this);
    const receive = (records: readonly KeyedRecord[]) => records.forEach(record => fixture.received.push(record.key));
    followTopic({
        store: createTopicStore(fixture),
        clock: fixture.clock,
        random: fixture.clock.random,
        topic: "topic",
        isNeeded: () => true,
        maxRetryDelayMs: () => 0,
        timing: () => ({ waitMs: 0, intervalMs: 100 }),
        onNewest: receive,
        onRecords: records => {
            if (records.length > 0 && fixture.errors.length === 0) {
                throw new Error("a receiver's exception");
            }
            receive(records);
        },
        onFailure: failure => assert.fail(failure.reason),
        onError: error => fixture.errors.push(error),
        onTruncated: assert.fail,
    });
    await runFor(fixture, 200);
    appendRecord(fixture, "first");
    await runFor(fixture, 200);
});

When("a record follows it", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    appendRecord(fixture, "second");
    await runFor(fixture, 1_000);
});

Then("both records have been received", function(this: SiteWorld) {
    assert.deepEqual(getFixture(this).received, ["first", "second"]);
});

Then("the exception has been reported", function(this: SiteWorld) {
    assert.equal(getFixture(this).errors.length, 1);
});

Given("a holder of parts whose first events make their receiver throw", function(this: SiteWorld) {
    const fixture = createFixture(this);
    followPartEvents({
        holder: { id: "holder", address: "10.0.0.9:80", isNamed: true, maxReaders: 4, isListed: false },
        read: (_, since) => {
            const events = [{ salt: "s", part: `p-${since}`, tokens: 16 }];
            return Promise.resolve({ kind: "events", epoch: 1, next: since + 1, hasGap: false, events });
        },
        list: () => Promise.reject(new Error("not listed")),
        clock: fixture.clock,
        onEvents: events => {
            if (fixture.errors.length === 0) {
                throw new Error("a receiver's exception");
            }
            events.forEach(event => fixture.received.push(event.part));
        },
        onReset: () => undefined,
        onListed: () => undefined,
        onError: error => fixture.errors.push(error),
        onReachable: () => undefined,
    });
});

When("its events are followed for a while", async function(this: SiteWorld) {
    await runFor(getFixture(this), 2_000);
});

Then("later events have been received", function(this: SiteWorld) {
    assert.ok(getFixture(this).received.length > 0);
});

When(
    "an action that throws the first time is repeated every {int} ms for {int} ms",
    function(this: SiteWorld, intervalMs: number, durationMs: number) {
        const fixture = createFixture(this);
        repeatEvery(fixture.clock, intervalMs, () => {
            fixture.runs += 1;
            if (fixture.runs === 1) {
                throw new Error("an action's exception");
            }
        });
        assert.throws(() => fixture.clock.runUntil(intervalMs));
        fixture.clock.runUntil(durationMs);
    },
);

Then("it has run {int} times", function(this: SiteWorld, expected: number) {
    assert.equal(getFixture(this).runs, expected);
});

When("a configuration comes into force while the first of two listeners throws", function(this: SiteWorld) {
    const fixture = createFixture(this);
    const era = createStoreEra();
    const store = createStoreClient("127.0.0.1:1", era.accept);
    const views = assembleViews({
        settings: createSettings("entry-1"),
        ports: createPorts(store, era, createCodec(), createEngineOrders()),
        clock: fixture.clock,
        startedMs: fixture.clock.now(),
        random: fixture.clock.random,
        writeLog: event => {
            if (event === "internalFailure") {
                fixture.errors.push(event);
            }
        },
        metrics: createRouterMetrics(),
        listDropped: () => new Map(),
        collectGarbage: () => undefined,
    });
    views.onChange(() => {
        throw new Error("a listener's exception");
    });
    views.onChange(() => fixture.received.push("change"));
    views.applyTable(createTable({ version: 5 }), "store");
});

Then("the second listener was called", function(this: SiteWorld) {
    assert.deepEqual(getFixture(this).received, ["change"]);
});

When("the handler of an effect throws, and resumes the steps later", function(this: SiteWorld) {
    const fixture = createFixture(this);
    function* createSteps(): Generator<{ readonly kind: "send"; }, void, unknown> {
        yield { kind: "send" };
        fixture.received.push("resumed");
    }
    runSteps<void, { readonly kind: "send"; }, { send: undefined; }>(
        createSteps(),
        {
            send: (_, resume) => {
                fixture.clock.after(10, () => resume(undefined));
                throw new Error("a handler's exception");
            },
        },
        () => fixture.received.push("done"),
        error => fixture.errors.push(error),
    );
    fixture.clock.runUntil(100);
});

Then("the steps have ended once, with the error", function(this: SiteWorld) {
    const { errors, received } = getFixture(this);
    assert.equal(errors.length, 1);
    assert.deepEqual(received, []);
});
