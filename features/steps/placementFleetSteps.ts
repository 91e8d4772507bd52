/**
 * @module
 * Steps of several instances that place requests on the same engines.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createPlacerFixture, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { choosePlacement } from "../../src/core/placement/choosePlacement.js";
import { createUpstreamUseTracker } from "../../src/core/placement/createUpstreamUseTracker.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** Instances that place prompts with shared parts. */
interface InstancesFixture {
    readonly placers: readonly PlacerFixture[];
    readonly areTold: boolean;
    readonly placedAt: string[];
}

const fleets = new WeakMap<SiteWorld, InstancesFixture>();

function createInstances(count: number, engineCount: number, areTold: boolean): InstancesFixture {
    const clock = createVirtualClock(1);
    const engines = Array.from({ length: engineCount }, (_, index) => `u-${index + 1}`);
    const placers = Array.from({ length: count }, () => createPlacerFixture(clock, engines));
    return { placers, areTold, placedAt: [] };
}

/** Instances of a fleet in which reports of what the others place come too late. */
Given(
    "{int} instances of a large fleet with {int} idle engines",
    function(this: SiteWorld, count: number, engineCount: number) {
        const clock = createVirtualClock(1);
        const engines = Array.from({ length: engineCount }, (_, index) => `u-${index + 1}`);
        const placers = Array.from({ length: count }, () => createPlacerFixture(clock, engines, false));
        fleets.set(this, { placers, areTold: false, placedAt: [] });
    },
);

When(
    "each of them places a prompt that begins with one of {int} parts and goes on with one of {int}",
    function(this: SiteWorld, firstParts: number, secondParts: number) {
        const fleet = fleets.get(this)!;
        for (const [index, { placer, clock }] of fleet.placers.entries()) {
            const second = Math.floor(clock.random() * secondParts);
            const parts = [
                { id: `style-${second % firstParts}`, tokens: 2_520 },
                { id: `case-${second}`, tokens: 3_780 },
                { id: `own-${index}`, tokens: 2_890 },
            ];
            const prompt = createPrompt({ parts, promptTokens: 9_190 });
            const req = createProxyRequest("stream", { id: `r-${index}`, prompt });
            placer.place(req, { kind: "place", excluded: [] }, result => {
                assert.ok(result.kind === "placed");
                fleet.placedAt.push(result.placement.upstream.id);
            });
        }
    },
);

Then("no engine gets more than {int} of them", function(this: SiteWorld, limit: number) {
    const { placedAt, placers } = fleets.get(this)!;
    assert.equal(placedAt.length, placers.length);
    const counts = new Map<string, number>();
    placedAt.forEach(id => counts.set(id, (counts.get(id) ?? 0) + 1));
    const most = Math.max(...counts.values());
    assert.ok(most <= limit, `one engine gets ${most}`);
});

const sharedTokens = 3_000;

/** Performs an action of an instance; peers that are told learn at once of the prefills that it reports. */
function perform(fleet: InstancesFixture, instance: PlacerFixture, action: () => void): void {
    const before = instance.prefills.length;
    action();
    const reported = fleet.areTold ? instance.prefills.slice(before) : [];
    for (const prefill of reported) {
        fleet.placers.filter(other => other !== instance)
            .forEach(other => other.parts.recordSent(prefill.parts, prefill.salt, prefill.engine, 0));
    }
}

/** Places a prompt whose second part has the given id. */
function placeShared(fleet: InstancesFixture, index: number, secondPart: string): void {
    const instance = fleet.placers[index]!;
    const id = `r-${index}`;
    const parts = [{ id: "style", tokens: 2_500 }, { id: secondPart, tokens: 500 }, { id, tokens: 50 }];
    const req = createProxyRequest("stream", {
        id,
        prompt: createPrompt({ parts, promptTokens: sharedTokens + 50 }),
    });
    perform(fleet, instance, () =>
        instance.placer.place(req, { kind: "place", excluded: [] }, result => {
            assert.ok(result.kind === "placed");
            fleet.placedAt.push(result.placement.upstream.id);
        }));
}

/** Places a prompt of which nothing is cached and that needs little memory of its own. */
function placeUncached(fleet: InstancesFixture, instance: PlacerFixture, id: string, tokens: number): void {
    const parts = [{ id: `first-${id}`, tokens }, { id: `second-${id}`, tokens: 10 }, { id, tokens: 10 }];
    const prompt = createPrompt({ parts, promptTokens: tokens + 20 });
    instance.placer.place(createProxyRequest("stream", { id, prompt }), { kind: "place", excluded: [] }, result => {
        assert.ok(result.kind === "placed");
        fleet.placedAt.push(result.placement.upstream.id);
    });
}

Given(
    "{int} instances with {int} idle engines that know nothing of each other's requests",
    function(this: SiteWorld, count: number, engineCount: number) {
        fleets.set(this, createInstances(count, engineCount, false));
    },
);

Given(
    "{int} instances with {int} idle engines that tell each other what is about to be prefilled",
    function(this: SiteWorld, count: number, engineCount: number) {
        fleets.set(this, createInstances(count, engineCount, true));
    },
);

When(
    "each of them places a prompt that begins with the same part and goes on with one of its own",
    function(this: SiteWorld) {
        const fleet = fleets.get(this)!;
        fleet.placers.forEach((_, index) => placeShared(fleet, index, `case-${index}`));
    },
);

Given(
    "{int} instances with {int} engines of which only {string} has the target weights",
    function(this: SiteWorld, count: number, engineCount: number, updated: string) {
        const fleet = createInstances(count, engineCount, false);
        for (const { clock, weights, use } of fleet.placers) {
            weights.recordTarget({ model: "easy-read", version: 2, sinceMs: clock.now() - 2_000, isObserved: true });
            weights.recordLoaded(updated, "easy-read", 2);
            Array.from({ length: count - 1 }, (_, index) => use.updatePeer(`peer-${index}`, []));
        }
        fleets.set(this, fleet);
    },
);

When(
    "each of them places {int} prompts of {int} uncached tokens before any report arrives",
    function(this: SiteWorld, count: number, tokens: number) {
        const fleet = fleets.get(this)!;
        for (const [index, instance] of fleet.placers.entries()) {
            for (let prompt = 0; prompt < count; prompt += 1) {
                placeUncached(fleet, instance, `r-${index}-${prompt}`, tokens);
            }
        }
    },
);

Then(
    "{string} is to prefill at most what it prefills in {int} ms at {float} tokens a ms",
    function(this: SiteWorld, id: string, limitMs: number, tokensPerMs: number) {
        const limitTokens = limitMs * tokensPerMs;
        const uses = fleets.get(this)!.placers.map(({ use }) => use.listOwn().find(one => one.upstream === id));
        const tokens = uses.reduce((sum, use) => sum + (use?.unreadTokens ?? 0), 0);
        assert.ok(tokens > 0);
        assert.ok(tokens <= limitTokens, `${tokens} tokens`);
    },
);

When("each of them in turn places a prompt with the same shared parts", function(this: SiteWorld) {
    const fleet = fleets.get(this)!;
    fleet.placers.forEach((_, index) => placeShared(fleet, index, "case"));
});

Then("all of these prompts are placed at one engine", function(this: SiteWorld) {
    const { placedAt, placers } = fleets.get(this)!;
    assert.equal(placedAt.length, placers.length);
    assert.equal(new Set(placedAt).size, 1, placedAt.join(", "));
});

Then("the parts were reported once", function(this: SiteWorld) {
    const { placers } = fleets.get(this)!;
    assert.equal(placers.flatMap(({ prefills }) => prefills).length, 1);
});

/** Instances that place at one engine, each with its own tracker of the engine's use. */
interface DelayedReportsFixture {
    readonly count: number;
    readonly reportIntervalMs: number;
    /** Memory that is in use at the engine before the first report arrives, in tokens. */
    takenTokens: number;
}

const delayedReports = new WeakMap<SiteWorld, DelayedReportsFixture>();
const requestTokens = 1_020;
const sharedEngineTokens = 60_000;

Given(
    "{int} instances that report their use to each other every {int} ms",
    function(this: SiteWorld, count: number, reportIntervalMs: number) {
        delayedReports.set(this, { count, reportIntervalMs, takenTokens: 0 });
    },
);

When(
    "each of them places a request every {int} ms at one engine that all see as idle",
    function(this: SiteWorld, spacingMs: number) {
        const fixture = delayedReports.get(this)!;
        const trackers = Array.from({ length: fixture.count }, () => createUpstreamUseTracker());
        for (const tracker of trackers) {
            trackers.filter(other => other !== tracker).forEach((_, index) => tracker.updatePeer(`peer-${index}`, []));
        }
        for (let nowMs = 0; nowMs < fixture.reportIntervalMs; nowMs += spacingMs) {
            for (const [index, tracker] of trackers.entries()) {
                const chosen = choosePlacement([{
                    id: "e-1",
                    use: tracker.read("e-1"),
                    unreported: tracker.estimateUnreported("e-1", nowMs),
                    slots: 1_000,
                    memoryTokens: sharedEngineTokens,
                    prefillTokens: requestTokens,
                    repeatedTokens: 0,
                    neededTokens: requestTokens,
                    isOutdated: false,
                    isSameFailureDomain: true,
                }]);
                if (chosen !== undefined) {
                    const shared = { sharedKey: "k", sharedTokens: 0, unreadTokens: requestTokens };
                    const placed = { upstream: "e-1", ownTokens: requestTokens, ...shared };
                    tracker.begin(`${index}-${nowMs}`, placed, nowMs);
                    fixture.takenTokens += requestTokens;
                }
            }
        }
    },
);

Then("the engine's memory is not overcommitted before the reports arrive", function(this: SiteWorld) {
    const { takenTokens } = delayedReports.get(this)!;
    assert.ok(takenTokens > 0);
    assert.ok(takenTokens <= sharedEngineTokens, `${takenTokens} tokens`);
});
