/**
 * @module
 * Steps that follow a scripted holder of prompt parts on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { PartEvent } from "../../src/core/placement/createPartView.js";
import { followPartEvents, type PartEventsResult } from "../../src/io/parts/followPartEvents.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface FeedFixture {
    readonly clock: VirtualClock;
    readonly isListed: boolean;
    /** Number of newest events that the holder still serves. */
    readonly kept: number;
    readonly stored: PartEvent[];
    readonly known: Set<string>;
    lists: number;
    failingLists: number;
}

const fixtures = new WeakMap<SiteWorld, FeedFixture>();

/** Longer than the pause after events, in milliseconds. */
const roundMs = 1_000;

function getFixture(world: SiteWorld): FeedFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

function store(fixture: FeedFixture, count: number): void {
    for (let index = 0; index < count; index += 1) {
        fixture.stored.push({ salt: "s", part: `p-${fixture.stored.length}`, tokens: 100 });
    }
}

function readEvents({ stored, kept }: FeedFixture, since: number): PartEventsResult {
    const first = Math.max(since, stored.length - kept);
    return { kind: "events", epoch: 1, next: stored.length, hasGap: first > since, events: stored.slice(first) };
}

function listAll(fixture: FeedFixture): PartEventsResult {
    fixture.lists += 1;
    if (fixture.failingLists > 0) {
        fixture.failingLists -= 1;
        return { kind: "failed", reason: "status 500" };
    }
    return { kind: "events", epoch: 1, next: fixture.stored.length, hasGap: false, events: [...fixture.stored] };
}

/** Advances the clock over several reads. */
async function run(fixture: FeedFixture): Promise<void> {
    for (let round = 0; round < 4; round += 1) {
        await setImmediate();
        fixture.clock.runUntil(fixture.clock.now() + roundMs);
    }
    await setImmediate();
}

Given(
    /^a holder that (is|is not) listed, with (\d+) parts of which its feed has the newest (\d+)$/,
    function(this: SiteWorld, isListed: string, parts: string, kept: string) {
        const fixture: FeedFixture = {
            clock: createVirtualClock(1),
            isListed: isListed === "is",
            kept: Number(kept),
            stored: [],
            known: new Set(),
            lists: 0,
            failingLists: 0,
        };
        store(fixture, Number(parts));
        fixtures.set(this, fixture);
    },
);

Given("its first list fails", function(this: SiteWorld) {
    getFixture(this).failingLists = 1;
});

When("its events are followed", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    followPartEvents({
        holder: { id: "kept", address: "10.0.0.9:80", isNamed: false, maxReaders: 4, isListed: fixture.isListed },
        read: (_, since) => Promise.resolve(readEvents(fixture, since)),
        list: () => Promise.resolve(listAll(fixture)),
        clock: fixture.clock,
        onEvents: events => events.forEach(event => fixture.known.add(event.part)),
        onReset: () => fixture.known.clear(),
        onListed: () => undefined,
        onError: error => assert.fail(String(error)),
        onReachable: () => undefined,
    });
    await run(fixture);
});

When("it stores one more part", async function(this: SiteWorld) {
    store(getFixture(this), 1);
    await run(getFixture(this));
});

When("it stores {int} parts at once", async function(this: SiteWorld, count: number) {
    store(getFixture(this), count);
    await run(getFixture(this));
});

Then("{int} parts are known after {int} list(s)", function(this: SiteWorld, parts: number, lists: number) {
    const { known, lists: requested } = getFixture(this);
    assert.deepEqual({ parts: known.size, lists: requested }, { parts, lists });
});
