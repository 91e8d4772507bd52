/**
 * @module
 * Steps that place requests on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    createEngineRecord,
    createPlacerFixture,
    engineMemoryTokens,
    firstSalt,
    type PlacerFixture,
} from "../../bench/support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { PlaceResult } from "../../src/core/proxy/proxyEffects.js";
import type { Placement, ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface PlacementFixture extends PlacerFixture {
    /** Requests with their results, in the order of arrival. */
    readonly requests: { readonly req: ProxyRequest; result: PlaceResult | undefined; }[];
    /** Ids of requests in the order in which they were placed. */
    readonly placedOrder: string[];
}

const fixtures = new WeakMap<SiteWorld, PlacementFixture>();

function getFixture(world: SiteWorld): PlacementFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

function placeNext(
    fixture: PlacementFixture,
    changes: Partial<ProxyRequest> = {},
    excluded: readonly string[] = [],
): PlaceResult | undefined {
    const nowMs = fixture.clock.now();
    const id = `r-${fixture.requests.length}`;
    const parts = [{ id: "style", tokens: 2_000 }, { id: "case", tokens: 4_000 }, { id, tokens: 1_000 }];
    const prompt = createPrompt({ parts });
    const req = createProxyRequest("stream", { id, prompt, arrivedMs: nowMs, deadlineMs: nowMs + 4_000, ...changes });
    const entry: PlacementFixture["requests"][number] = { req, result: undefined };
    fixture.requests.push(entry);
    fixture.placer.place(req, { kind: "place", excluded }, result => {
        entry.result = result;
        if (result.kind === "placed") {
            fixture.placedOrder.push(req.id);
        }
    });
    return entry.result;
}

function placeMany(fixture: PlacementFixture, count: number): readonly (string | undefined)[] {
    return Array.from({ length: count }, () => {
        const result = placeNext(fixture);
        fixture.placer.end(fixture.requests.at(-1)!.req);
        return result?.kind === "placed" ? result.placement.upstream.id : undefined;
    });
}

Given("idle engines {string}", function(this: SiteWorld, names: string) {
    const fixture = createPlacerFixture(createVirtualClock(1), names.split(", "));
    fixtures.set(this, { ...fixture, requests: [], placedOrder: [] });
});

When("a request to {string} is found to be misdirected", function(this: SiteWorld, id: string) {
    getFixture(this).health.recordMisdirected(id);
});

When("the registry reports that {string} has restarted", function(this: SiteWorld, id: string) {
    const { registry, clock } = getFixture(this);
    registry.applyChanges([{ kind: "put", record: createEngineRecord(id, { startedAtMs: 2 }) }], clock.now());
});

When(
    /^(?:the registry reports that )?"([^"]+)" is draining(?: according to the registry)?$/,
    function(this: SiteWorld, id: string) {
        const { registry, clock } = getFixture(this);
        registry.applyChanges([{ kind: "put", record: createEngineRecord(id, { isDraining: true }) }], clock.now());
    },
);

When("a peer reports that {string} is loading", function(this: SiteWorld, id: string) {
    getFixture(this).weights.setLoading("peer", [id]);
});

Given(
    "the target weights version is {int} and {string} has loaded it",
    function(this: SiteWorld, version: number, id: string) {
        const { weights, clock } = getFixture(this);
        weights.recordTarget({ model: "easy-read", version, sinceMs: clock.now(), isObserved: true });
        weights.recordLoaded(id, "easy-read", version);
    },
);

When("{int} ms have passed", function(this: SiteWorld, passedMs: number) {
    const { clock } = getFixture(this);
    clock.runUntil(clock.now() + passedMs);
});

When("{string} reports that it has cached the shared parts", function(this: SiteWorld, id: string) {
    const { parts } = getFixture(this);
    parts.applyEvents(id, [{ salt: firstSalt, part: "style", tokens: 2_000 }, {
        salt: firstSalt,
        part: "case",
        tokens: 4_000,
    }]);
});

Then("a request that avoids {string} is placed without a source", function(this: SiteWorld, id: string) {
    const result = placeNext(getFixture(this), {}, [id]);
    assert.ok(result?.kind === "placed");
    assert.equal(result.placement.cacheSource, undefined);
});

/** Returns the placement of one of the requests, counted from 0. */
function findPlacement(fixture: PlacementFixture, index: number): Placement {
    const result = fixture.requests[index]?.result;
    assert.ok(result?.kind === "placed");
    return result.placement;
}

/** Places a prompt with the same shared parts at an engine that none of the requests before was placed at. */
function placeElsewhere(fixture: PlacementFixture): Placement {
    const excluded = fixture.requests.map((_, index) => findPlacement(fixture, index).upstream.id);
    placeNext(fixture, {}, excluded);
    return findPlacement(fixture, fixture.requests.length - 1);
}

When("a prompt is sent to an engine and its answer has not begun", function(this: SiteWorld) {
    assert.equal(placeNext(getFixture(this))?.kind, "placed");
});

Then("a prompt with the same parts that avoids this engine is placed without a source", function(this: SiteWorld) {
    assert.equal(placeElsewhere(getFixture(this)).cacheSource, undefined);
});

When("the answer of the first engine begins", function(this: SiteWorld) {
    const fixture = getFixture(this);
    fixture.placer.recordAnswerStart(fixture.requests[0]!.req, findPlacement(fixture, 0));
});

Then(
    "a prompt with the same parts that avoids both engines has the first one as its source",
    function(this: SiteWorld) {
        const fixture = getFixture(this);
        assert.equal(placeElsewhere(fixture).cacheSource, findPlacement(fixture, 0).upstream.address);
    },
);

function placeUntilOneWaits(fixture: PlacementFixture, changes: Partial<ProxyRequest> = {}): void {
    while (placeNext(fixture, changes)?.kind === "placed") {
        assert.ok(fixture.requests.length < 100);
    }
}

When("requests are placed until one waits", function(this: SiteWorld) {
    placeUntilOneWaits(getFixture(this));
});

When("requests with a deadline of {int} ms are placed until one waits", function(this: SiteWorld, leftMs: number) {
    const fixture = getFixture(this);
    placeUntilOneWaits(fixture, { deadlineMs: fixture.clock.now() + leftMs });
});

When("one more request waits", function(this: SiteWorld) {
    assert.equal(placeNext(getFixture(this)), undefined);
});

When("a placed request ends", function(this: SiteWorld) {
    const fixture = getFixture(this);
    const placed = fixture.requests.find(entry => entry.result?.kind === "placed");
    assert.ok(placed !== undefined);
    fixture.placer.end(placed.req);
});

When(
    "a request of priority {int} waits behind one of priority {int}",
    function(this: SiteWorld, first: number, last: number) {
        const fixture = getFixture(this);
        assert.equal(placeNext(fixture, { priority: last }), undefined);
        assert.equal(placeNext(fixture, { priority: first }), undefined);
    },
);

Then("{int} request(s) is/are (all )placed at {string}", function(this: SiteWorld, count: number, id: string) {
    assert.deepEqual(placeMany(getFixture(this), count), Array.from({ length: count }, () => id));
});

Then("some of {int} requests are placed at {string}", function(this: SiteWorld, count: number, id: string) {
    const fixture = getFixture(this);
    const places = Array.from({ length: count }, () => placeNext(fixture))
        .map(result => (result?.kind === "placed" ? result.placement.upstream.id : undefined));
    assert.ok(places.includes(id));
});

Then(
    "a request is placed at {string} with the address of {string} as its source",
    function(this: SiteWorld, id, source) {
        const result = placeNext(getFixture(this));
        assert.ok(result?.kind === "placed");
        assert.equal(result.placement.upstream.id, id);
        assert.equal(result.placement.cacheSource, createEngineRecord(source).address);
    },
);

Then("a request is refused as {string}", function(this: SiteWorld, kind: string) {
    const result = placeNext(getFixture(this));
    assert.equal(result?.kind === "refused" ? result.refusal.kind : result?.kind, kind);
});

Then(
    "a request with a prompt of {int} tokens is refused as {string}",
    function(this: SiteWorld, promptTokens: number, kind: string) {
        const prompt = createPrompt({ parts: [{ id: "own", tokens: promptTokens }], promptTokens });
        const result = placeNext(getFixture(this), { prompt });
        assert.equal(result?.kind === "refused" ? result.refusal.kind : result?.kind, kind);
    },
);

Then("a request with {int} ms left is refused as {string}", function(this: SiteWorld, leftMs: number, kind: string) {
    const fixture = getFixture(this);
    const result = placeNext(fixture, { deadlineMs: fixture.clock.now() + leftMs });
    assert.equal(result?.kind === "refused" ? result.refusal.kind : result?.kind, kind);
});

Then("the placed requests fit into the engine's memory", function(this: SiteWorld) {
    const placed = getFixture(this).requests.filter(entry => entry.result?.kind === "placed");
    // The parts before the last are shared by all of them; each has 1,000 tokens and 20 generated ones of its own.
    const tokens = 6_000 + placed.length * 1_020;
    assert.ok(placed.length > 1);
    assert.ok(tokens <= engineMemoryTokens, `${tokens} tokens`);
});

Then("the waiting request is placed", function(this: SiteWorld) {
    assert.equal(getFixture(this).requests.at(-1)?.result?.kind, "placed");
});

Then("the newest request is placed and the one before it waits", function(this: SiteWorld) {
    const { requests } = getFixture(this);
    assert.deepEqual(requests.slice(-2).map(entry => entry.result?.kind), [undefined, "placed"]);
});

Then("the waiting request is refused as {string}", function(this: SiteWorld, kind: string) {
    const result = getFixture(this).requests.at(-1)?.result;
    assert.equal(result?.kind === "refused" ? result.refusal.kind : result?.kind, kind);
});

Then("the request of priority {int} is placed before that of priority {int}", function(this: SiteWorld, first, last) {
    const fixture = getFixture(this);
    while (fixture.placer.countWaiting() > 0) {
        const placed = fixture.requests.find(entry => entry.result?.kind === "placed");
        assert.ok(placed !== undefined);
        fixture.placer.end(placed.req);
        fixture.requests.splice(fixture.requests.indexOf(placed), 1);
    }
    const priorities = fixture.placedOrder.map(id => Number(id.slice(2)));
    assert.ok(first < last);
    // The request that was queued last has the higher number and was placed earlier.
    const [lastQueued, before] = [
        priorities.indexOf(Math.max(...priorities)),
        priorities.indexOf(Math.max(...priorities) - 1),
    ];
    assert.ok(lastQueued < before);
});

When("{int} requests with the same id are placed, and both end", function(this: SiteWorld, count: number) {
    const fixture = getFixture(this);
    for (let index = 0; index < count; index += 1) {
        assert.equal(placeNext(fixture, { id: "same" })?.kind, "placed");
    }
    fixture.requests.forEach(({ req }) => fixture.placer.end(req));
});

Then("nothing of {string} is in use", function(this: SiteWorld, upstream: string) {
    assert.deepEqual(getFixture(this).use.read(upstream), { requests: 0, memoryTokens: 0, unreadTokens: 0 });
});
