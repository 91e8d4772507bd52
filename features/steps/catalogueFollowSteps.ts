/**
 * @module
 * Steps that follow an in-memory log on the virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { advanceClock } from "../../bench/support/advanceClock.js";
import { createMemoryLog, type MemoryLog } from "../../bench/support/createMemoryLog.js";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { findEntry } from "../../src/core/catalogue/catalogue.js";
import type { CatalogueEntry } from "../../src/core/catalogue/catalogueEntry.js";
import { catalogueToSnapshot } from "../../src/core/catalogue/snapshot.js";
import { parseSnapshotPart, splitSnapshot } from "../../src/core/catalogue/snapshotParts.js";
import { applyChange } from "../../src/io/catalogue/applyChange.js";
import { type CatalogueFollower, followCatalogue } from "../../src/io/catalogue/followCatalogue.js";
import { maintainSnapshots } from "../../src/io/catalogue/maintainSnapshots.js";
import type { ApplyAnswer } from "../../src/io/operator/operatorRouter.js";
import { createChange, createChanges, createModel, foldAll } from "../support/catalogueHistories.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface FollowFixture {
    readonly clock: VirtualClock;
    readonly log: MemoryLog;
    readonly events: string[];
    follower?: CatalogueFollower;
    answers: readonly ApplyAnswer[];
    payload: string;
}

const fixtures = new WeakMap<SiteWorld, FollowFixture>();
const logDelayMs = 3;
const minuteMs = 60_000;

function findFixture(world: SiteWorld): FollowFixture {
    return fixtures.get(world)!;
}

function follow(fixture: FollowFixture): CatalogueFollower {
    const { clock, log, events } = fixture;
    return followCatalogue({
        log,
        clock,
        random: clock.random,
        writeLog: event => events.push(event),
        onAdvance: () => undefined,
    });
}

async function advance(fixture: FollowFixture, durationMs: number, stepMs = 5): Promise<void> {
    await advanceClock(fixture.clock, fixture.clock.now() + durationMs, stepMs);
}

/** Applies changes concurrently on the virtual clock. */
async function apply(fixture: FollowFixture, payloads: readonly string[]): Promise<void> {
    fixture.payload = payloads[0]!;
    const dependencies = { log: fixture.log, clock: fixture.clock, follower: fixture.follower! };
    const applying = Promise.all(payloads.map(payload => applyChange(payload, dependencies)));
    await advance(fixture, 5_000);
    fixture.answers = await applying;
}

Given(
    "a log with {int} changes whose first {int} are truncated",
    async function(this: SiteWorld, count: number, truncated: number) {
        const clock = createVirtualClock(61);
        const log = createMemoryLog({ clock, sampleDelayMs: () => logDelayMs });
        const fixture: FollowFixture = { clock, log, events: [], answers: [], payload: "" };
        fixtures.set(this, fixture);
        this.cleanups.push(() => fixture.follower?.stop());
        void log.append("catalogue", createChanges(count));
        await advance(fixture, 2 * logDelayMs);
        log.truncate("catalogue", truncated);
    },
);

Given(
    "a snapshot of the first {int} changes on the log followed by a malformed one",
    async function(this: SiteWorld, count: number) {
        const fixture = findFixture(this);
        const parts = splitSnapshot(catalogueToSnapshot(foldAll(createChanges(count))), "entry-1", 0);
        void fixture.log.append("snapshots", [...parts, "{\"kind\":\"snapshotPart\""]);
        await advance(fixture, 2 * logDelayMs);
    },
);

Given("malformed records on the log", async function(this: SiteWorld) {
    const model = createModel("m9", "v1");
    const payloads = [
        "not json",
        "{\"kind\":\"change\"}",
        createChange("change-9", "model/other", 0, model),
        createChange("change-9", "model/m9", 0, { ...model, id: "M 9" } as CatalogueEntry),
        JSON.stringify({ kind: "change", changeId: "change-9", author: "test", edits: [] }),
        JSON.stringify({ filler: "x".repeat(1 << 20) }),
    ];
    void findFixture(this).log.append("catalogue", payloads);
    await advance(findFixture(this), 2 * logDelayMs);
});

Given("the log goes down after one page", function(this: SiteWorld) {
    const { clock, log } = findFixture(this);
    clock.after(4 * logDelayMs, () => log.setDown(true));
});

When("an instance follows it for {int} seconds", async function(this: SiteWorld, seconds: number) {
    const fixture = findFixture(this);
    fixture.follower = follow(fixture);
    await advance(fixture, seconds * 1_000);
});

When("the log is down for {int} seconds", async function(this: SiteWorld, seconds: number) {
    findFixture(this).log.setDown(true);
    await advance(findFixture(this), seconds * 1_000);
});

When("the log is up for {int} seconds", async function(this: SiteWorld, seconds: number) {
    findFixture(this).log.setDown(false);
    await advance(findFixture(this), seconds * 1_000);
});

When("it adopts a peer's catalogue of all {int} changes", function(this: SiteWorld, count: number) {
    findFixture(this).follower!.adopt(foldAll(createChanges(count)));
});

When("a change is appended and {int} seconds pass", async function(this: SiteWorld, seconds: number) {
    const change = createChange("change-new", "model/new", 0, createModel("new", "v1"));
    void findFixture(this).log.append("catalogue", [change]);
    await advance(findFixture(this), seconds * 1_000);
});

When("a change is applied and the answer of its append is lost", async function(this: SiteWorld) {
    findFixture(this).log.loseAppendAnswers(1);
    await apply(findFixture(this), [createChange("change-lost", "model/m0", 1, createModel("m0", "v2"))]);
});

When("a change is applied", async function(this: SiteWorld) {
    await apply(findFixture(this), [createChange("change-one", "model/m0", 1, createModel("m0", "v2"))]);
});

When("the same change is applied again", async function(this: SiteWorld) {
    await apply(findFixture(this), [findFixture(this).payload]);
});

When("the same change is appended twice", async function(this: SiteWorld) {
    const change = createChange("change-twice", "model/m0", 1, createModel("m0", "v2"));
    void findFixture(this).log.append("catalogue", [change]);
    void findFixture(this).log.append("catalogue", [change]);
    await advance(findFixture(this), 1_000);
});

When("two changes of one entry from the same base are applied", async function(this: SiteWorld) {
    await apply(findFixture(this), [
        createChange("change-left", "model/m0", 1, createModel("m0", "v2")),
        createChange("change-right", "model/m0", 1, createModel("m0", "v3")),
    ]);
});

function createUpstream(model: string): CatalogueEntry {
    return {
        kind: "upstream",
        id: "u1",
        owner: "operations",
        address: "127.0.0.1:9",
        failureDomain: "bilbao-a",
        role: "engine",
        serves: [model],
        fencesOrders: false,
        slots: 1,
        prefillTokensPerSecond: 1,
        leaving: false,
    };
}

When("an upstream of an unknown model is applied", async function(this: SiteWorld) {
    await apply(findFixture(this), [createChange("change-open", "upstream/u1", 0, createUpstream("missing"))]);
});

When("the model of a known upstream is removed", async function(this: SiteWorld) {
    await apply(findFixture(this), [createChange("change-known", "upstream/u1", 0, createUpstream("m0"))]);
    assert.equal(findFixture(this).answers[0]?.outcome, "accepted");
    await apply(findFixture(this), [createChange("change-gone", "model/m0", 1, undefined)]);
});

Then("it is loaded at offset {int}", function(this: SiteWorld, offset: number) {
    assert.equal(findFixture(this).follower!.isLoaded(), true);
    assert.equal(findFixture(this).follower!.current().nextOffset, offset);
});

Then("it is not loaded and has event {string} once", function(this: SiteWorld, event: string) {
    const fixture = findFixture(this);
    assert.equal(fixture.follower!.isLoaded(), false);
    assert.equal(fixture.follower!.current().nextOffset, 0);
    assert.equal(fixture.events.filter(one => one === event).length, 1);
});

Then("it has event {string} once", function(this: SiteWorld, event: string) {
    assert.equal(findFixture(this).events.filter(one => one === event).length, 1);
});

Then("it has event {string} {int} times", function(this: SiteWorld, event: string, count: number) {
    assert.equal(findFixture(this).events.filter(one => one === event).length, count);
});

Then("its log contact is at least {int} seconds old", function(this: SiteWorld, seconds: number) {
    assert.ok(findFixture(this).follower!.logContactAgeMs()! >= seconds * 1_000);
});

function assertOutcome(fixture: FollowFixture, outcome: string, count: number): void {
    assert.equal(fixture.answers[0]?.outcome, outcome, fixture.answers[0]?.detail);
    const found = fixture.log.listRecords("catalogue").filter(record => record.payload === fixture.payload);
    assert.equal(found.length, count);
}

Then("the change is accepted and appears once in the log", function(this: SiteWorld) {
    assertOutcome(findFixture(this), "accepted", 1);
});

Then("the change is {word} and appears {int} times in the log", function(this: SiteWorld, word: string, count: number) {
    assertOutcome(findFixture(this), word, count);
});

Then("its entry has the revision of the first append", function(this: SiteWorld) {
    const catalogue = findFixture(this).follower!.current();
    assert.equal(findEntry(catalogue, "model", "m0")?.weightsVersion, "v2");
    assert.equal(catalogue.entries.get("model/m0")?.revision, 2);
});

Then("one is accepted and the other is answered with the winner's revision", function(this: SiteWorld) {
    const { answers, follower } = findFixture(this);
    assert.deepEqual(answers.map(answer => answer.outcome).sort(), ["accepted", "conflict"]);
    const lost = answers.find(answer => answer.outcome === "conflict")!.verdict!;
    assert.equal(lost.kind === "conflict" && lost.revision, follower!.current().entries.get("model/m0")?.revision);
});

Given(
    "{int} instances that maintain snapshots with a retention of {int} minutes",
    function(this: SiteWorld, count: number, minutes: number) {
        const fixture = findFixture(this);
        const { clock, log } = fixture;
        for (let index = 0; index < count; index += 1) {
            const follower = follow(fixture);
            const stop = maintainSnapshots({
                log,
                clock,
                random: clock.random,
                writeLog: () => undefined,
                instance: `entry-${index}`,
                current: () => follower.isLoaded() ? follower.current() : undefined,
                retentionMs: minutes * minuteMs,
            });
            this.cleanups.push(follower.stop, stop);
        }
    },
);

When("{int} minutes pass", async function(this: SiteWorld, minutes: number) {
    await advance(findFixture(this), minutes * minuteMs, 500);
});

function listWritten(fixture: FollowFixture): readonly { readonly nextOffset: number; readonly writtenMs: number; }[] {
    return fixture.log.listRecords("snapshots").map(record => parseSnapshotPart(record.payload)!).filter(one =>
        one.part === 0
    );
}

Then("a snapshot was written at least every {int} minutes", function(this: SiteWorld, minutes: number) {
    const times = [0, ...listWritten(findFixture(this)).map(one => one.writtenMs), findFixture(this).clock.wallNow()];
    const gaps = times.slice(1).map((time, index) => time - times[index]!);
    assert.ok(Math.max(...gaps) <= minutes * minuteMs, gaps.join(" "));
});

Then("at most {int} snapshots were written", function(this: SiteWorld, count: number) {
    assert.ok(listWritten(findFixture(this)).length <= count);
});

Then("the newest snapshot has offset {int}", function(this: SiteWorld, offset: number) {
    assert.equal(listWritten(findFixture(this)).at(-1)?.nextOffset, offset);
});
