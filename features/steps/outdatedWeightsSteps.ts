/**
 * @module
 * Steps on runs that begin late on weights that are outdated, on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { LogEventName } from "../../src/core/logEvents/logEventTable.js";
import { assumeTargetTime } from "../../src/core/weights/assumeTargetTime.js";
import { computeBeginLimitMs } from "../../src/core/weights/computeBeginLimitMs.js";
import { computeOutdatedLimitMs } from "../../src/core/weights/computeOutdatedLimitMs.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { type OutdatedPath, startOutdatedPath, streamBytes } from "../support/startOutdatedPath.js";

const paths = new WeakMap<SiteWorld, OutdatedPath>();

function getPath(world: SiteWorld): OutdatedPath {
    const path = paths.get(world);
    assert.ok(path !== undefined);
    return path;
}

interface ScheduledStep {
    readonly atMs: number;
    readonly act: (path: OutdatedPath) => Promise<void> | void;
}

/** What happens, in the order of its times; it is played when a step depends on it. */
const schedules = new WeakMap<SiteWorld, ScheduledStep[]>();

function schedule(world: SiteWorld, atMs: number, act: ScheduledStep["act"]): void {
    schedules.get(world)?.push({ atMs, act });
}

async function play(world: SiteWorld): Promise<OutdatedPath> {
    const path = getPath(world);
    const steps = schedules.get(world) ?? [];
    for (const { atMs, act } of steps.toSorted((one, other) => one.atMs - other.atMs)) {
        await path.advanceTo(atMs);
        await act(path);
    }
    schedules.set(world, []);
    return path;
}

Given(
    "an instance that serves callers, and an engine with version 1 that keeps requests waiting",
    async function(this: SiteWorld) {
        const path = await startOutdatedPath();
        paths.set(this, path);
        schedules.set(this, []);
        this.cleanups.push(path.stop);
    },
);

When("version 2 is named {int} ms after the start of the instance", function(this: SiteWorld, atMs: number) {
    schedule(this, atMs, path => path.nameVersion(0));
});

When("it learns {int} ms after its start of version 2 without its age", function(this: SiteWorld, atMs: number) {
    schedule(this, atMs, path => path.nameVersion(undefined));
});

When("its process or its reads of the store go on {int} ms after its start", function(this: SiteWorld, atMs: number) {
    schedule(this, atMs, path => path.endGap());
});

When(
    "a peer tells {int} ms after its start that version 2 was named {int} ms before",
    function(this: SiteWorld, atMs: number, ageMs: number) {
        schedule(this, atMs, path => path.nameVersion(ageMs));
    },
);

When(
    /^a caller sends a stream( that may be resumed)? (\d+) ms after its start$/,
    function(this: SiteWorld, resumed: string | undefined, atMs: string) {
        schedule(this, Number(atMs), path => path.send(Boolean(resumed)));
    },
);

const engineAnswers: Readonly<Record<string, string>> = {
    nothing: "",
    "a head": streamBytes.head,
    "an event": streamBytes.head + streamBytes.event,
};

When(/^the engine answers (nothing|a head|an event)$/, async function(this: SiteWorld, answer: string) {
    const path = await play(this);
    await path.write(engineAnswers[answer]!);
});

When("the engine begins and ends it {int} ms after its start", function(this: SiteWorld, atMs: number) {
    const { head, event, end } = streamBytes;
    schedule(this, atMs, path => path.write(head + event + end));
});

When("the instance is told to stop {int} ms after its start", function(this: SiteWorld, atMs: number) {
    schedule(this, atMs, path => path.beginStop());
});

When("an engine with version 2 joins", async function(this: SiteWorld) {
    await getPath(this).addCurrentEngine();
});

/** Counts the requests of the other engine with version 1. */
const oldEngineCounts = new WeakMap<SiteWorld, () => Promise<number>>();

When("another engine with version 1 joins {int} ms after the start", function(this: SiteWorld, atMs: number) {
    schedule(this, atMs, async path => {
        oldEngineCounts.set(this, await path.addOldEngine());
    });
});

When(
    "the engine answers an event {int} ms after the start and breaks off {int} ms after it",
    function(this: SiteWorld, eventMs: number, breakMs: number) {
        schedule(this, eventMs, path => path.write(streamBytes.head + streamBytes.event));
        schedule(this, breakMs, path => path.breakOff());
    },
);

Then("the other engine with version 1 has got {int} request(s)", async function(this: SiteWorld, count: number) {
    await play(this);
    assert.equal(await oldEngineCounts.get(this)!(), count);
});

Then("the caller gets the event of the engine and the rest of the newer one", async function(this: SiteWorld) {
    const { status, text } = await getPath(this).readAnswer();
    assert.equal(status, 200);
    assert.match(text, /^id: 1\ndata: one\n\n[^]*data: two\n\n$/);
});

When("the engine ends the stream", async function(this: SiteWorld) {
    await getPath(this).write(streamBytes.end);
});

Then(
    "the engine's connection is closed within {int} ms of the start",
    async function(this: SiteWorld, boundMs: number) {
        const path = await play(this);
        await path.advanceTo(boundMs);
        assert.ok(await path.waitClosed(), "the engine still has the request");
    },
);

Then("the engine's connection is open {int} ms after the start", async function(this: SiteWorld, atMs: number) {
    const path = await play(this);
    await path.advanceTo(atMs);
    assert.equal(await path.waitClosed(), false);
});

Then("the engine has got {int} request(s)", async function(this: SiteWorld, count: number) {
    const path = await play(this);
    assert.equal(await path.countRequests(1), count);
});

Then("the caller gets status {int}", async function(this: SiteWorld, status: number) {
    assert.equal((await getPath(this).readAnswer()).status, status);
});

Then(
    /^the caller gets the whole stream of the (other )?engine$/,
    async function(this: SiteWorld, other: string | undefined) {
        const text = `id: 1\ndata: ${Boolean(other) ? "two" : "one"}\n\n`;
        assert.deepEqual(await getPath(this).readAnswer(), { status: 200, text });
    },
);

Then(
    "runs on weights of unknown age begin and are placed within a window of {int} ms, with a limit of {int} ms",
    function(stableWindowMs: number, weightsLimitMs: number) {
        const sinceMs = assumeTargetTime({ blindUntilMs: 0, stableWindowMs, weightsLimitMs });
        const lastBeginMs = sinceMs + computeBeginLimitMs(weightsLimitMs);
        assert.ok(lastBeginMs < stableWindowMs, `runs begin for ${lastBeginMs} ms`);
        assert.ok(sinceMs + computeOutdatedLimitMs(weightsLimitMs) < lastBeginMs);
    },
);

function findFields(world: SiteWorld, event: LogEventName): Readonly<Record<string, unknown>> {
    const line = getPath(world).logged.find(one => one.event === event);
    assert.ok(line !== undefined, `no line ${event}`);
    return line.fields;
}

Then(
    /^the line of the send states that its weights had been outdated for (\d+) ms, as (observed|assumed)$/,
    function(this: SiteWorld, outdatedMs: string, source: string) {
        const { outdatedMs: stated, isAgeObserved } = findFields(this, "requestSent");
        assert.deepEqual({ stated, isAgeObserved }, {
            stated: Number(outdatedMs),
            isAgeObserved: source === "observed",
        });
    },
);

Then(
    "a line states that the send was withdrawn at {int} ms with no head, and why",
    function(this: SiteWorld, outdatedMs: number) {
        const { outdatedMs: stated, hasHead } = findFields(this, "sendWithdrawn");
        assert.ok(Number(stated) >= outdatedMs && Number(stated) < outdatedMs + 100, String(stated));
        assert.equal(hasHead, false);
        assert.match(String(findFields(this, "sendEnded")["detail"]), /outdated/);
    },
);

Then("the line of the request's end states when its stream started", function(this: SiteWorld) {
    const { streamStartMs, tookMs } = findFields(this, "requestServed");
    assert.ok(Number(streamStartMs) >= 0 && Number(tookMs) - Number(streamStartMs) > 1_000);
});
