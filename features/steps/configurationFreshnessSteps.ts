/**
 * @module
 * Steps that check which version of the configuration is in force on instances beside troubles of the store.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { type FakeStore, startFakeStore } from "../../fakes/startFakeStore.js";
import { type SilencingProxy, startSilencingProxy } from "../../fakes/startSilencingProxy.js";
import { createStoreClient } from "../../platform/createStoreClient.js";
import type { KeyedRecord, ReadResult, RecordStore } from "../../src/core/ports/recordStore.js";
import { createStoreEra } from "../../src/core/store/createStoreEra.js";
import type { SiteWorld } from "../support/siteWorld.js";
import {
    fleetHistoryArbitrary,
    type FreshnessBounds,
    type HistoryResult,
    listReaders,
    playStoreHistory,
    type StoreHistory,
    storeHistoryArbitrary,
} from "../support/storeHistories.js";

/** Time without trouble after which an instance counts as in touch, in milliseconds; the platform's bound. */
const stableMs = 3_000;

const histories = new WeakMap<SiteWorld, StoreHistory>();

function listAll(instances: number): readonly number[] {
    return Array.from({ length: instances }, (_, index) => index);
}

function describeFirst({ violations }: HistoryResult): string {
    return `${violations.length} violations, the first one: ${JSON.stringify(violations[0])}`;
}

When(
    "all connections of {int} instances to the store go silent right after a version, and another one is confirmed then",
    function(this: SiteWorld, instances: number) {
        histories.set(this, {
            instances,
            connectionTroubles: [{ kind: "silence", atMs: 5_100, durationMs: 0, instances: listAll(instances) }],
            storeTroubles: [],
            publishedMs: [5_000, 5_300],
            seed: 1,
        });
    },
);

When(
    "{int} instances lose their connections while the store comes back from a copy that has grown to their offset",
    function(this: SiteWorld, instances: number) {
        histories.set(this, {
            instances,
            connectionTroubles: [{ kind: "silence", atMs: 501, durationMs: 0, instances: listAll(instances) }],
            storeTroubles: [{ kind: "return", atMs: 500, durationMs: 100 }],
            publishedMs: [456, 461],
            seed: 1,
        });
    },
);

Then(
    "each instance that is in touch has every version that was confirmed {int} ms before",
    async function(this: SiteWorld, inForceMs: number) {
        const result = await playStoreHistory(histories.get(this)!, { stableMs, inForceMs });
        assert.equal(result.violations.length, 0, describeFirst(result));
    },
);

Then(
    "the same check detects instances that take the stable window for {int} ms",
    { timeout: 120_000 },
    async (statedStableMs: number) => {
        await assert.rejects(
            checkHistories(150, 29, { stableMs, inForceMs: 2_000, statedStableMs }),
            /Property failed/,
        );
    },
);

async function checkHistories(
    runs: number,
    seed: number,
    bounds: FreshnessBounds,
    arbitrary: fc.Arbitrary<StoreHistory> = storeHistoryArbitrary,
): Promise<void> {
    await fc.assert(
        fc.asyncProperty(arbitrary, async history => {
            const result = await playStoreHistory(history, bounds);
            assert.equal(result.violations.length, 0, describeFirst(result));
        }),
        { numRuns: runs, seed },
    );
}

Then(
    "over {int} random histories with seed {int}, each instance in touch has every version confirmed {int} ms before and "
        + "never goes back",
    { timeout: 120_000 },
    (runs: number, seed: number, inForceMs: number) => checkHistories(runs, seed, { stableMs, inForceMs }),
);

Then(
    "over {int} random histories of a fleet with seed {int}, each instance in touch has every version confirmed {int} ms "
        + "before and never goes back",
    { timeout: 120_000 },
    (runs: number, seed: number, inForceMs: number) =>
        checkHistories(runs, seed, { stableMs, inForceMs }, fleetHistoryArbitrary),
);

When(
    "all readers of a fleet of {int} are cut off from the store, and a version is confirmed then",
    function(this: SiteWorld, instances: number) {
        const readers = listReaders(instances);
        assert.ok(readers.length < instances / 2);
        histories.set(this, {
            instances,
            connectionTroubles: [{ kind: "cut", atMs: 5_000, durationMs: 6_000, instances: readers }],
            storeTroubles: [],
            peerTroubles: [],
            publishedMs: [5_100, 8_000],
            seed: 1,
        });
    },
);

Then("the same check detects instances that rely on readers whatever the age of their state", async function(
    this: SiteWorld,
) {
    const { violations } = await playStoreHistory(histories.get(this)!, {
        stableMs,
        inForceMs: 2_000,
        alterPlan: plan => ({ ...plan, maxAgeMs: plan.isReader ? plan.maxAgeMs : Infinity }),
    });
    assert.ok(violations.length > 0);
});

Then(
    "{int} instances read the operator's records under {float} times a second each",
    async (instances: number, limit: number) => {
        const { operatorReads, endMs } = await playStoreHistory({
            instances,
            connectionTroubles: [],
            storeTroubles: [],
            peerTroubles: [],
            publishedMs: [20_000],
            seed: 1,
        }, { stableMs, inForceMs: 2_000 });
        const rate = operatorReads * 1_000 / endMs / instances;
        assert.ok(rate < limit, `${rate} reads a second`);
    },
);

interface ClientFixture {
    readonly store: FakeStore;
    readonly proxy: SilencingProxy;
    readonly client: RecordStore;
    /** The read that waits. */
    readonly waiting: Promise<ReadResult<KeyedRecord>> | undefined;
}

const clients = new WeakMap<SiteWorld, ClientFixture>();

const topic = "keyed.op";

async function connectBehindProxy(world: SiteWorld): Promise<Pick<ClientFixture, "store" | "proxy" | "client">> {
    const store = await startFakeStore();
    const proxy = await startSilencingProxy(store.address);
    const client = createStoreClient(proxy.address, createStoreEra().accept);
    world.cleanups.push(() => Promise.resolve(client.close()), () => proxy.stop(), () => store.stop());
    return { store, proxy, client };
}

Given("a client of the store that waits for the next record behind a network element", async function(this: SiteWorld) {
    const connected = await connectBehindProxy(this);
    const { client } = connected;
    // The connection is open once it has carried a read.
    await client.readKeyed(topic, 0, 0);
    clients.set(this, { ...connected, waiting: client.readKeyed(topic, 0, 200) });
});

Given("a client of the store that has read all keys behind a network element", async function(this: SiteWorld) {
    const connected = await connectBehindProxy(this);
    await connected.client.readNewest(topic);
    clients.set(this, { ...connected, waiting: undefined });
});

Then("a read of all keys returns the record on a new connection", async function(this: SiteWorld) {
    const read = await clients.get(this)!.client.readNewest(topic);
    assert.ok(read.kind === "newest", JSON.stringify(read));
    assert.deepEqual(read.records.map(record => record.key), ["config"]);
});

When("its open connections go silent and a record is appended", function(this: SiteWorld) {
    const { proxy, store } = clients.get(this)!;
    proxy.silenceOpen();
    store.put(topic, "config", {});
});

Then("the read fails for lack of an answer", async function(this: SiteWorld) {
    const read = await clients.get(this)!.waiting;
    assert.ok(read?.kind === "failed");
    assert.equal(read.cause, "timeout");
});

Then("the next read returns the record on a new connection", async function(this: SiteWorld) {
    const { client, proxy } = clients.get(this)!;
    const read = await client.readKeyed(topic, 0, 0);
    assert.ok(read.kind === "records");
    assert.deepEqual(read.records.map(record => record.key), ["config"]);
    assert.equal(proxy.countConnections(), 2);
});
