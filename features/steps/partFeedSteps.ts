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

interface FeedScene {
    readonly clock: VirtualClock;
    readonly isListed: boolean;
    /** Events that the holder still tells. */
    readonly kept: number;
    readonly stored: PartEvent[];
    readonly known: Set<string>;
    lists: number;
    failingLists: number;
}

const scenes = new WeakMap<SiteWorld, FeedScene>();

/** Longer than the pause after events, in milliseconds. */
const roundMs = 1_000;

function sceneOf(world: SiteWorld): FeedScene {
    const scene = scenes.get(world);
    assert.ok(scene !== undefined);
    return scene;
}

function store(scene: FeedScene, count: number): void {
    for (let index = 0; index < count; index += 1) {
        scene.stored.push({ salt: "s", part: `p-${scene.stored.length}`, tokens: 100 });
    }
}

function readEvents({ stored, kept }: FeedScene, since: number): PartEventsResult {
    const first = Math.max(since, stored.length - kept);
    return { kind: "events", epoch: 1, next: stored.length, hasGap: first > since, events: stored.slice(first) };
}

function listAll(scene: FeedScene): PartEventsResult {
    scene.lists += 1;
    if (scene.failingLists > 0) {
        scene.failingLists -= 1;
        return { kind: "failed", reason: "status 500" };
    }
    return { kind: "events", epoch: 1, next: scene.stored.length, hasGap: false, events: [...scene.stored] };
}

/** Lets some reads pass. */
async function run(scene: FeedScene): Promise<void> {
    for (let round = 0; round < 4; round += 1) {
        await setImmediate();
        scene.clock.runUntil(scene.clock.now() + roundMs);
    }
    await setImmediate();
}

Given(
    /^a holder that (is|is not) listed, with (\d+) parts of which it tells the newest (\d+)$/,
    function(this: SiteWorld, isListed: string, parts: string, kept: string) {
        const scene: FeedScene = {
            clock: createVirtualClock(1),
            isListed: isListed === "is",
            kept: Number(kept),
            stored: [],
            known: new Set(),
            lists: 0,
            failingLists: 0,
        };
        store(scene, Number(parts));
        scenes.set(this, scene);
    },
);

Given("its first list fails", function(this: SiteWorld) {
    sceneOf(this).failingLists = 1;
});

When("its events are followed", async function(this: SiteWorld) {
    const scene = sceneOf(this);
    followPartEvents({
        holder: { id: "kept", address: "10.0.0.9:80", isNamed: false, maxReaders: 4, isListed: scene.isListed },
        read: (_, since) => Promise.resolve(readEvents(scene, since)),
        list: () => Promise.resolve(listAll(scene)),
        clock: scene.clock,
        isReader: () => true,
        onEvents: events => events.forEach(event => scene.known.add(event.part)),
        onReset: () => scene.known.clear(),
        onListed: () => undefined,
        onReachable: () => undefined,
    });
    await run(scene);
});

When("it stores one more part", async function(this: SiteWorld) {
    store(sceneOf(this), 1);
    await run(sceneOf(this));
});

When("it stores {int} parts at once", async function(this: SiteWorld, count: number) {
    store(sceneOf(this), count);
    await run(sceneOf(this));
});

Then("{int} parts are known after {int} list(s)", function(this: SiteWorld, parts: number, lists: number) {
    const { known, lists: asked } = sceneOf(this);
    assert.deepEqual({ parts: known.size, lists: asked }, { parts, lists });
});
