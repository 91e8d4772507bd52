/**
 * @module
 * Steps of an instance that learns of target weights after a start or a pause, on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { assembleFeeds } from "../../src/assemble/assembleFeeds.js";
import { assembleViews, type InstanceViews } from "../../src/assemble/assembleViews.js";
import type { KeyedRecord, ReadResult, RecordStore, StoreFailure } from "../../src/core/ports/recordStore.js";
import { planStoreReads } from "../../src/core/store/planStoreReads.js";
import { computeOutdatedLimitMs } from "../../src/core/weights/computeOutdatedLimitMs.js";
import { createInstanceContext } from "../support/createInstanceContext.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface AgeFixture {
    readonly clock: VirtualClock;
    readonly startedMs: number;
    readonly views: InstanceViews;
    readonly limitMs: number;
    /** Answers the long poll of the operator's records. */
    answerPoll: (result: ReadResult<KeyedRecord>) => void;
    /** Newest records of the operator in the store. */
    newest: readonly KeyedRecord[];
    /** Milliseconds since the operator's records were read by a peer. */
    peerAgeMs: number;
    namedMs: number;
    resumedMs: number;
    isPauseUndetected: boolean;
}

const fixtures = new WeakMap<SiteWorld, AgeFixture>();
const model = "easy-read";
const failure: StoreFailure = { kind: "failed", cause: "connection", reason: "not used" };

function getFixture(world: SiteWorld): AgeFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

/** Lets the reads that are due go on. */
async function advance({ clock }: AgeFixture, durationMs: number): Promise<void> {
    await setImmediate();
    clock.runUntil(clock.now() + durationMs);
    await setImmediate();
}

/** Returns the time from which no request is placed on version 1. */
function findEndMs({ views, limitMs }: AgeFixture): number {
    const sinceMs = views.weights.outdatedSinceMs(model, 1);
    assert.ok(sinceMs !== undefined);
    return sinceMs + limitMs;
}

async function startFollowing(world: SiteWorld, hasStore: boolean): Promise<void> {
    const clock = createVirtualClock(1);
    const startedMs = clock.now();
    const store: RecordStore = {
        readNewest: topic =>
            Promise.resolve(
                hasStore
                    ? { kind: "newest", era: 0, records: topic.includes("op") ? fixture.newest : [], end: 0 }
                    : failure,
            ),
        readKeyed: topic =>
            new Promise(resolve => {
                if (topic.includes("op")) {
                    fixture.answerPoll = resolve;
                }
            }),
        readPlain: () => Promise.resolve({ kind: "records", era: 0, records: [], end: 0, next: 0 }),
        appendAt: () => Promise.resolve(failure),
        putKeyed: () => Promise.resolve(failure),
        close: () => undefined,
    };
    const context = createInstanceContext(clock, store);
    const { settings } = context;
    const fixture: AgeFixture = {
        clock,
        startedMs,
        views: assembleViews(context),
        limitMs: computeOutdatedLimitMs(settings.weightsLimitMs),
        answerPoll: () => assert.fail("no long poll"),
        newest: [],
        peerAgeMs: Infinity,
        namedMs: 0,
        resumedMs: 0,
        isPauseUndetected: false,
    };
    const feeds = assembleFeeds(context, fixture.views, {
        plan: () => planStoreReads({ name: settings.instance, failureDomain: settings.failureDomain }, [], settings),
        operatorAgeMs: () => fixture.peerAgeMs,
        upstreamsAgeMs: () => Infinity,
        checkPause: () => {
            if (fixture.isPauseUndetected) {
                fixture.isPauseUndetected = false;
                feeds.forgetAges();
            }
        },
    });
    fixtures.set(world, fixture);
    await advance(fixture, 0);
}

Given("an instance that follows the operator's records", function(this: SiteWorld) {
    return startFollowing(this, true);
});

Given("an instance that cannot read the operator's records yet", function(this: SiteWorld) {
    return startFollowing(this, false);
});

const nothingNew: ReadResult<KeyedRecord> = { kind: "records", era: 0, records: [], end: 0, next: 0 };
const pollMs = 1_000;
const stepMs = 50;

/** Lets each step of a read follow the one before. */
async function advanceInSteps(fixture: AgeFixture, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
        await advance(fixture, stepMs);
    }
}

/** Answers long polls, none of which has news. */
async function followFor(fixture: AgeFixture, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += pollMs) {
        await advance(fixture, pollMs);
        fixture.answerPoll(nothingNew);
        await advance(fixture, 0);
    }
}

const versionRecord: KeyedRecord = {
    key: `version/${model}`,
    value: Buffer.from(JSON.stringify({ model, version: 2 })),
    offset: 0,
};

/** Names a version while nothing is read, and lets it be read in the way that the event brings about. */
const readAfter: ReadonlyMap<string, (fixture: AgeFixture) => Promise<void>> = new Map([
    ["a failed read", async (fixture: AgeFixture) => {
        fixture.answerPoll(failure);
        await advance(fixture, 500);
        fixture.answerPoll({ kind: "records", era: 0, records: [versionRecord], end: 1, next: 1 });
        await advance(fixture, 0);
    }],
    ["a deletion of the records", async fixture => {
        fixture.newest = [versionRecord];
        fixture.answerPoll({ kind: "truncated", era: 0, first: 1 });
        await advance(fixture, 100);
    }],
    ["a time in which it read nothing", async fixture => {
        fixture.newest = [versionRecord];
        fixture.peerAgeMs = 0;
        fixture.answerPoll(failure);
        await advanceInSteps(fixture, 1_500);
        fixture.peerAgeMs = Infinity;
        await advanceInSteps(fixture, 500);
    }],
]);

When(
    "it has followed them for {int} ms, and a version is named and read after {}",
    async function(this: SiteWorld, followedMs: number, event: string) {
        const fixture = getFixture(this);
        await followFor(fixture, followedMs);
        await advance(fixture, pollMs / 2);
        fixture.namedMs = fixture.clock.now();
        await readAfter.get(event)?.(fixture);
    },
);

When(
    "it has followed them for {int} ms, and a peer reports a version whose age it does not know",
    async function(this: SiteWorld, followedMs: number) {
        const fixture = getFixture(this);
        await followFor(fixture, followedMs);
        await advance(fixture, pollMs / 2);
        fixture.namedMs = fixture.clock.now();
        fixture.views.recordTarget({ model, version: 2 }, "entry-2");
    },
);

Then(
    "it takes the version for named between 0 and {int} ms before it was",
    function(this: SiteWorld, olderMs: number) {
        const { views, namedMs } = getFixture(this);
        const sinceMs = views.weights.outdatedSinceMs(model, 1);
        assert.ok(sinceMs !== undefined);
        assert.ok(sinceMs <= namedMs && sinceMs >= namedMs - olderMs, `taken for ${namedMs - sinceMs} ms older`);
    },
);

When(
    "a version that was named in a pause of {int} ms is read as the first step after it",
    async function(this: SiteWorld, pauseMs: number) {
        const fixture = getFixture(this);
        await advance(fixture, 20_000);
        fixture.answerPoll({ kind: "records", era: 0, records: [], end: 0, next: 0 });
        await advance(fixture, 0);
        await advance(fixture, pauseMs);
        fixture.isPauseUndetected = true;
        fixture.resumedMs = fixture.clock.now();
        const value = Buffer.from(JSON.stringify({ model, version: 2 }));
        const record = { key: `version/${model}`, value, offset: 0 };
        fixture.answerPoll({ kind: "records", era: 0, records: [record], end: 1, next: 1 });
        await advance(fixture, 0);
    },
);

When(
    "it learns {int} ms after its start of a version whose age nobody knows",
    function(this: SiteWorld, learnedMs: number) {
        const { clock, startedMs, views } = getFixture(this);
        clock.runUntil(startedMs + learnedMs);
        views.recordTarget({ model, version: 2 }, "store");
    },
);

Then(
    "it places no request on older weights later than {int} ms after its {word}",
    function(this: SiteWorld, boundMs: number, event: string) {
        const fixture = getFixture(this);
        const fromMs = event === "start" ? fixture.startedMs : fixture.resumedMs;
        const usedMs = findEndMs(fixture) - fromMs;
        assert.ok(usedMs <= boundMs, `older weights are used for ${usedMs} ms`);
    },
);
