/**
 * @module
 * Steps that play a load on placers and check what the callers get.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createPrefillReporter, type PrefillReporter } from "../../src/core/fleet/createPrefillReporter.js";
import { computeCallerDeadlines } from "../../src/core/proxy/computeCallerDeadlines.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import { createPlacerFixture, type PlacerFixture } from "../support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../support/proxyFixtures.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** What one caller got. */
interface CallerResult {
    readonly req: ProxyRequest;
    readonly kind: "answered" | "refused";
    readonly atMs: number;
}

interface LoadFixture {
    readonly placing: PlacerFixture;
    readonly serviceMs: number;
    readonly capacityPerSecond: number;
    readonly results: CallerResult[];
}

const loads = new WeakMap<SiteWorld, LoadFixture>();

/** Tokens of a request of which two fit into an engine's memory. */
const largePromptTokens = 9_000;
const concurrentRequests = 2;

function createLargeRequest(id: string, nowMs: number): ProxyRequest {
    const parts = [{ id: `own-${id}`, tokens: largePromptTokens }];
    const prompt = createPrompt({ parts, promptTokens: largePromptTokens });
    return createProxyRequest("stream", { id, prompt, arrivedMs: nowMs, deadlineMs: nowMs + 4_000 });
}

function serve(load: LoadFixture, req: ProxyRequest): void {
    const { clock, placer } = load.placing;
    placer.place(req, { kind: "place", excluded: [] }, result => {
        if (result.kind !== "placed") {
            load.results.push({ req, kind: "refused", atMs: clock.now() });
            return;
        }
        clock.after(load.serviceMs, () => {
            load.results.push({ req, kind: "answered", atMs: clock.now() });
            placer.end(req);
        });
    });
}

Given(
    "an engine with room for two requests that answers each in {int} ms",
    function(this: SiteWorld, serviceMs: number) {
        const placing = createPlacerFixture(createVirtualClock(1), ["u-1"]);
        const capacityPerSecond = concurrentRequests * 1_000 / serviceMs;
        loads.set(this, { placing, serviceMs, capacityPerSecond, results: [] });
    },
);

When(
    "a request arrives every {int} ms for {int} s",
    function(this: SiteWorld, spacingMs: number, seconds: number) {
        const load = loads.get(this)!;
        const { clock } = load.placing;
        for (let atMs = 0; atMs < seconds * 1_000; atMs += spacingMs) {
            clock.after(atMs, () => serve(load, createLargeRequest(`r-${atMs}`, clock.now())));
        }
        clock.runUntil(clock.now() + seconds * 1_000 + 5_000);
        assert.equal(load.results.length, seconds * 1_000 / spacingMs);
    },
);

Then(
    "from second {int} on, each refused caller has at least half of its time left",
    function(this: SiteWorld, second: number) {
        const refused = loads.get(this)!.results
            .filter(({ req, kind }) => kind === "refused" && req.arrivedMs >= second * 1_000);
        assert.ok(refused.length > 0);
        for (const { req, atMs } of refused) {
            const patienceMs = computeCallerDeadlines(req).disconnectMs - req.arrivedMs;
            assert.ok(atMs - req.arrivedMs <= patienceMs / 2, `refused after ${atMs - req.arrivedMs} ms`);
        }
    },
);

Then(
    "of {int} s of capacity at least {int} % is used, and from second {int} on each answer is on time",
    function(this: SiteWorld, seconds: number, percent: number, second: number) {
        const { results, capacityPerSecond, serviceMs } = loads.get(this)!;
        const answered = results.filter(({ kind }) => kind === "answered");
        assert.ok(answered.length >= seconds * capacityPerSecond * percent / 100, `${answered.length} answers`);
        for (const { req, atMs } of answered.filter(one => one.req.arrivedMs >= second * 1_000)) {
            const startedMs = atMs - serviceMs;
            const { latencyDeadlineMs } = computeCallerDeadlines(req);
            assert.ok(startedMs <= latencyDeadlineMs, `placed ${startedMs - latencyDeadlineMs} ms too late`);
        }
    },
);

Then("no caller is refused", function(this: SiteWorld) {
    assert.deepEqual(loads.get(this)!.results.filter(({ kind }) => kind === "refused"), []);
});

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

/** A reporter with what it has sent. */
interface ReporterFixture {
    readonly clock: VirtualClock;
    readonly reporter: PrefillReporter;
    sentBytes: number;
}

const reporters = new WeakMap<SiteWorld, ReporterFixture>();

Given("a reporter of prefills whose reports take {int} bytes each", function(this: SiteWorld, bytes: number) {
    const clock = createVirtualClock(1);
    const reporter = createPrefillReporter(clock, () => {
        fixture.sentBytes += bytes;
        return bytes;
    });
    const fixture: ReporterFixture = { clock, reporter, sentBytes: 0 };
    reporters.set(this, fixture);
});

When("{int} prefills begin every second for {int} s", function(this: SiteWorld, rate: number, seconds: number) {
    const { clock, reporter } = reporters.get(this)!;
    for (let index = 0; index < rate * seconds; index += 1) {
        clock.after(
            index * 1_000 / rate,
            () => reporter.add({ engine: "u-1", salt: "s", parts: [{ id: `p-${index}`, tokens: 900 }] }),
        );
    }
    clock.runUntil(clock.now() + seconds * 1_000);
});

Then("at most {int} bytes were sent", function(this: SiteWorld, bytes: number) {
    assert.ok(reporters.get(this)!.sentBytes <= bytes, `${reporters.get(this)!.sentBytes} bytes`);
});

Then("at least {int} bytes were sent", function(this: SiteWorld, bytes: number) {
    assert.ok(reporters.get(this)!.sentBytes >= bytes, `${reporters.get(this)!.sentBytes} bytes`);
});
