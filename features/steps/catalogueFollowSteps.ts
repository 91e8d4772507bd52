/**
 * @module
 * Steps that follow a log in memory on the virtual clock.
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

interface Scene {
    readonly clock: VirtualClock;
    readonly log: MemoryLog;
    readonly events: string[];
    follower?: CatalogueFollower;
    answers: readonly ApplyAnswer[];
    payload: string;
}

const scenes = new WeakMap<SiteWorld, Scene>();
const logDelayMs = 3;
const minuteMs = 60_000;

function findScene(world: SiteWorld): Scene {
    return scenes.get(world)!;
}

function follow(scene: Scene): CatalogueFollower {
    const { clock, log, events } = scene;
    return followCatalogue({
        log,
        clock,
        random: clock.random,
        writeLog: event => events.push(event),
        onAdvance: () => undefined,
    });
}

async function pass(scene: Scene, durationMs: number, stepMs = 5): Promise<void> {
    await advanceClock(scene.clock, scene.clock.now() + durationMs, stepMs);
}

/** Applies changes side by side on the virtual clock. */
async function apply(scene: Scene, payloads: readonly string[]): Promise<void> {
    scene.payload = payloads[0]!;
    const dependencies = { log: scene.log, clock: scene.clock, follower: scene.follower! };
    const applying = Promise.all(payloads.map(payload => applyChange(payload, dependencies)));
    await pass(scene, 5_000);
    scene.answers = await applying;
}

Given(
    "a log with {int} changes whose first {int} are gone",
    async function(this: SiteWorld, count: number, gone: number) {
        const clock = createVirtualClock(61);
        const log = createMemoryLog({ clock, sampleDelayMs: () => logDelayMs });
        const scene: Scene = { clock, log, events: [], answers: [], payload: "" };
        scenes.set(this, scene);
        this.cleanups.push(() => scene.follower?.stop());
        void log.append("catalogue", createChanges(count));
        await pass(scene, 2 * logDelayMs);
        log.truncate("catalogue", gone);
    },
);

Given(
    "a snapshot of the first {int} changes on the log behind a malformed one",
    async function(this: SiteWorld, count: number) {
        const scene = findScene(this);
        const parts = splitSnapshot(catalogueToSnapshot(foldAll(createChanges(count))), "entry-1", 0);
        void scene.log.append("snapshots", [...parts, "{\"kind\":\"snapshotPart\""]);
        await pass(scene, 2 * logDelayMs);
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
    void findScene(this).log.append("catalogue", payloads);
    await pass(findScene(this), 2 * logDelayMs);
});

Given("the log goes down after one page", function(this: SiteWorld) {
    const { clock, log } = findScene(this);
    clock.after(4 * logDelayMs, () => log.setDown(true));
});

When("an instance follows it for {int} seconds", async function(this: SiteWorld, seconds: number) {
    const scene = findScene(this);
    scene.follower = follow(scene);
    await pass(scene, seconds * 1_000);
});

When("the log is down for {int} seconds", async function(this: SiteWorld, seconds: number) {
    findScene(this).log.setDown(true);
    await pass(findScene(this), seconds * 1_000);
});

When("the log is up for {int} seconds", async function(this: SiteWorld, seconds: number) {
    findScene(this).log.setDown(false);
    await pass(findScene(this), seconds * 1_000);
});

When("it adopts a peer's catalogue of all {int} changes", function(this: SiteWorld, count: number) {
    findScene(this).follower!.adopt(foldAll(createChanges(count)));
});

When("a change is appended and {int} seconds pass", async function(this: SiteWorld, seconds: number) {
    const change = createChange("change-new", "model/new", 0, createModel("new", "v1"));
    void findScene(this).log.append("catalogue", [change]);
    await pass(findScene(this), seconds * 1_000);
});

When("a change is applied and the answer of its append is lost", async function(this: SiteWorld) {
    findScene(this).log.loseAppendAnswers(1);
    await apply(findScene(this), [createChange("change-lost", "model/m0", 1, createModel("m0", "v2"))]);
});

When("a change is applied", async function(this: SiteWorld) {
    await apply(findScene(this), [createChange("change-one", "model/m0", 1, createModel("m0", "v2"))]);
});

When("the same change is applied again", async function(this: SiteWorld) {
    await apply(findScene(this), [findScene(this).payload]);
});

When("the same change is appended twice", async function(this: SiteWorld) {
    const change = createChange("change-twice", "model/m0", 1, createModel("m0", "v2"));
    void findScene(this).log.append("catalogue", [change]);
    void findScene(this).log.append("catalogue", [change]);
    await pass(findScene(this), 1_000);
});

When("two changes of one entry from the same base are applied", async function(this: SiteWorld) {
    await apply(findScene(this), [
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
    await apply(findScene(this), [createChange("change-open", "upstream/u1", 0, createUpstream("missing"))]);
});

When("the model of a known upstream is removed", async function(this: SiteWorld) {
    await apply(findScene(this), [createChange("change-known", "upstream/u1", 0, createUpstream("m0"))]);
    assert.equal(findScene(this).answers[0]?.outcome, "accepted");
    await apply(findScene(this), [createChange("change-gone", "model/m0", 1, undefined)]);
});

Then("it is loaded at offset {int}", function(this: SiteWorld, offset: number) {
    assert.equal(findScene(this).follower!.isLoaded(), true);
    assert.equal(findScene(this).follower!.current().nextOffset, offset);
});

Then("it is not loaded and has event {string} once", function(this: SiteWorld, event: string) {
    const scene = findScene(this);
    assert.equal(scene.follower!.isLoaded(), false);
    assert.equal(scene.follower!.current().nextOffset, 0);
    assert.equal(scene.events.filter(one => one === event).length, 1);
});

Then("it has event {string} once", function(this: SiteWorld, event: string) {
    assert.equal(findScene(this).events.filter(one => one === event).length, 1);
});

Then("it has event {string} {int} times", function(this: SiteWorld, event: string, count: number) {
    assert.equal(findScene(this).events.filter(one => one === event).length, count);
});

Then("its log contact is at least {int} seconds old", function(this: SiteWorld, seconds: number) {
    assert.ok(findScene(this).follower!.logContactAgeMs()! >= seconds * 1_000);
});

function assertOutcome(scene: Scene, outcome: string, count: number): void {
    assert.equal(scene.answers[0]?.outcome, outcome, scene.answers[0]?.detail);
    const standing = scene.log.listRecords("catalogue").filter(record => record.payload === scene.payload);
    assert.equal(standing.length, count);
}

Then("the change is accepted and stands once in the log", function(this: SiteWorld) {
    assertOutcome(findScene(this), "accepted", 1);
});

Then("the change is {word} and stands {int} times in the log", function(this: SiteWorld, word: string, count: number) {
    assertOutcome(findScene(this), word, count);
});

Then("its entry has the revision of the first append", function(this: SiteWorld) {
    const catalogue = findScene(this).follower!.current();
    assert.equal(findEntry(catalogue, "model", "m0")?.weightsVersion, "v2");
    assert.equal(catalogue.entries.get("model/m0")?.revision, 2);
});

Then("one is accepted and the other is told the winner's revision", function(this: SiteWorld) {
    const { answers, follower } = findScene(this);
    assert.deepEqual(answers.map(answer => answer.outcome).sort(), ["accepted", "conflict"]);
    const lost = answers.find(answer => answer.outcome === "conflict")!.verdict!;
    assert.equal(lost.kind === "conflict" && lost.revision, follower!.current().entries.get("model/m0")?.revision);
});

Given(
    "{int} instances that keep snapshots with a retention of {int} minutes",
    function(this: SiteWorld, count: number, minutes: number) {
        const scene = findScene(this);
        const { clock, log } = scene;
        for (let index = 0; index < count; index += 1) {
            const follower = follow(scene);
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
    await pass(findScene(this), minutes * minuteMs, 500);
});

function listWritten(scene: Scene): readonly { readonly nextOffset: number; readonly writtenMs: number; }[] {
    return scene.log.listRecords("snapshots").map(record => parseSnapshotPart(record.payload)!).filter(one =>
        one.part === 0
    );
}

Then("a snapshot was written at least every {int} minutes", function(this: SiteWorld, minutes: number) {
    const times = [0, ...listWritten(findScene(this)).map(one => one.writtenMs), findScene(this).clock.wallNow()];
    const gaps = times.slice(1).map((time, index) => time - times[index]!);
    assert.ok(Math.max(...gaps) <= minutes * minuteMs, gaps.join(" "));
});

Then("at most {int} snapshots were written", function(this: SiteWorld, count: number) {
    assert.ok(listWritten(findScene(this)).length <= count);
});

Then("the newest snapshot has offset {int}", function(this: SiteWorld, offset: number) {
    assert.equal(listWritten(findScene(this)).at(-1)?.nextOffset, offset);
});
