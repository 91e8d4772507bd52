/**
 * @module
 * Steps in which one instance claims the rollout lease on a topic in memory.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { RecordStore } from "../../src/core/ports/recordStore.js";
import { createRolloutLease, type RolloutLease } from "../../src/core/weights/createRolloutLease.js";
import { maintainRolloutLease } from "../../src/io/weights/maintainRolloutLease.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface LeaseFixture {
    readonly clock: VirtualClock;
    readonly lease: RolloutLease;
    readonly topic: Buffer[];
    /** Era that the store states; 0 for none. */
    era: number;
    /** Runs before the next append is carried out. */
    beforeAppend: () => void;
    readonly maintain: () => Promise<boolean>;
}

const fixtures = new WeakMap<SiteWorld, LeaseFixture>();

function getFixture(world: SiteWorld): LeaseFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

/** A topic in memory; an answer of a new era is seen before it is used, as the store's client does it. */
function createTopicStore(read: () => LeaseFixture): RecordStore {
    const observeEra = () => {
        const { lease, era, clock } = read();
        if (era > 0) {
            lease.recordEra(era, clock.now());
        }
        return era;
    };
    const unused = () => Promise.reject(new Error("not used"));
    return {
        readNewest: unused,
        readKeyed: unused,
        putKeyed: unused,
        close: () => undefined,
        readPlain: (_, from) => {
            const era = observeEra();
            const { topic } = read();
            if (from > topic.length) {
                return Promise.resolve({ kind: "truncated", era, first: 0 });
            }
            const records = topic.slice(from).map((value, index) => ({ offset: from + index, value }));
            return Promise.resolve({ kind: "records", era, records, next: topic.length, end: topic.length });
        },
        appendAt: (_, expectedEnd, value) => {
            const { topic, beforeAppend } = read();
            beforeAppend();
            const era = observeEra();
            if (expectedEnd !== topic.length) {
                return Promise.resolve({ kind: "moved", era, end: topic.length });
            }
            topic.push(Buffer.from(value));
            return Promise.resolve({ kind: "appended", era, offset: topic.length - 1 });
        },
    };
}

function startAlone(world: SiteWorld, era: number): LeaseFixture {
    const clock = createVirtualClock(1);
    const lease = createRolloutLease({ instance: "entry-1", separationMs: 3_000 });
    const store = createTopicStore(() => getFixture(world));
    const maintain = maintainRolloutLease({
        clock,
        instance: "entry-1",
        store,
        leaseTopic: "lease",
        lease,
        listLive: () => [],
        isLeaving: () => false,
        checkPause: () => undefined,
        notifyPeers: () => undefined,
        writeLog: () => undefined,
        onClaim: () => undefined,
        workSinceMs: () => 0,
    });
    const fixture: LeaseFixture = { clock, lease, topic: [], era, beforeAppend: () => undefined, maintain };
    fixtures.set(world, fixture);
    return fixture;
}

Given("an instance alone that knows era {int} of the store", function(this: SiteWorld, era: number) {
    const { clock, lease } = startAlone(this, era);
    lease.recordEra(era, clock.now());
    clock.runUntil(6_000);
});

Given("an instance alone that knows {int} claims and no era of the store", function(this: SiteWorld, count: number) {
    const { clock, lease, topic } = startAlone(this, 0);
    for (let offset = 0; offset < count; offset += 1) {
        topic.push(Buffer.from("entry-1"));
        lease.recordClaim({ instance: "entry-1", era: 0, offset }, clock.now());
    }
});

When("it claims the lease while the store comes back from an older copy", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    fixture.beforeAppend = () => {
        fixture.era += 1;
        fixture.beforeAppend = () => undefined;
    };
    await fixture.maintain();
});

When("the store has lost {int} of the claims", async function(this: SiteWorld, count: number) {
    const fixture = getFixture(this);
    fixture.topic.splice(-count);
    await fixture.maintain();
});

Then("it does not hold the lease", function(this: SiteWorld) {
    const { clock, lease } = getFixture(this);
    assert.equal(lease.fence(clock.now()), undefined);
});

Then(
    "{int} ms later it claims the lease again and holds it",
    async function(this: SiteWorld, delayMs: number) {
        const { clock, lease, maintain } = getFixture(this);
        clock.runUntil(clock.now() + delayMs);
        assert.equal(await maintain(), true);
        assert.notEqual(lease.fence(clock.now()), undefined);
    },
);
