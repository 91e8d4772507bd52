/**
 * @module
 * Steps of the load of upstreams: what they state, what is estimated and relayed, and which upstreams are chosen.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { type EvenLoadPlan, type EvenLoadResult, playEvenLoad } from "../../bench/evenLoad/playEvenLoad.js";
import { playRelay, type RelayPlan, type RelayResult } from "../../bench/evenLoad/playRelay.js";
import { createPlacerFixture, firstSalt, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createCodec } from "../../platform/createCodec.js";
import { createLoadExchange } from "../../src/core/load/createLoadExchange.js";
import { createOwnRequests } from "../../src/core/load/createOwnRequests.js";
import { createUpstreamLoads, type UpstreamLoads } from "../../src/core/load/createUpstreamLoads.js";
import { describeLoadView } from "../../src/core/load/describeLoadView.js";
import { retryAsLoadsFade } from "../../src/core/load/retryAsLoadsFade.js";
import { rankPlacements } from "../../src/core/placement/choosePlacement.js";
import { repeatEvery } from "../../src/core/time/repeatEvery.js";
import type { AnswerHead } from "../../src/io/proxy/proxyCodec.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface LoadFixture {
    readonly clock: VirtualClock;
    readonly loads: UpstreamLoads;
}

const heads = new WeakMap<SiteWorld, AnswerHead>();
const fixtures = new WeakMap<SiteWorld, LoadFixture>();
const plans = new WeakMap<SiteWorld, EvenLoadPlan>();
const plays = new WeakMap<SiteWorld, EvenLoadResult>();
const placers = new WeakMap<SiteWorld, PlacerFixture>();

const slots = 8;
const noSlowness = { pace: undefined, slowness: undefined };
const toRun = { isTimed: false, isRejected: false };

When("an upstream states its load as {string}", function(this: SiteWorld, text: string) {
    const headers = text.split(" and ").map(value => ["Server-Load", value] as const);
    heads.set(this, createCodec().readAnswer(200, headers, "u-1"));
});

Then(
    "its decoded load is {string} and {word} statement is malformed",
    function(this: SiteWorld, expected: string, malformed: string) {
        const { load, signals } = heads.get(this)!;
        const pace = load?.pace === undefined ? "" : ` ${load.pace}`;
        const text = load === undefined
            ? "none"
            : `${load.running} running, ${load.waiting} waiting, ${load.slots}${pace}`;
        assert.equal(text, expected);
        assert.equal(signals.malformed.length, malformed === "one" ? 1 : 0);
    },
);

function relay(
    { clock, loads }: LoadFixture,
    upstream: string,
    running: number,
    ageMs: number,
    waiting = 0,
): void {
    loads.recordRelayed([{ upstream, atMs: clock.now() - ageMs, running, waiting, ...noSlowness }]);
}

Given(
    "the loads of {int} upstreams, of which requests stay {int} ms",
    function(this: SiteWorld, count: number, holdMs: number) {
        const clock = createVirtualClock(1);
        clock.runUntil(1_000);
        const ids = new Set(Array.from({ length: count }, (_, index) => `u-${index + 1}`));
        const loads = createUpstreamLoads(id => (ids.has(id) ? { service: "plain", slots } : undefined));
        loads.recordBegin("u-4", 0);
        loads.recordEnd("u-4", holdMs, 0);
        fixtures.set(this, { clock, loads });
    },
);

Given(
    "a peer relays that upstream {int} had {int} requests {int} ms ago",
    function(this: SiteWorld, upstream: number, requests: number, ageMs: number) {
        relay(fixtures.get(this)!, `u-${upstream}`, requests, ageMs);
    },
);

Given(
    "a peer relays each {int} ms for {int} seconds that upstreams {int} to {int} have {int} requests",
    function(this: SiteWorld, spacingMs: number, seconds: number, first: number, last: number, requests: number) {
        const fixture = fixtures.get(this)!;
        const endMs = fixture.clock.now() + seconds * 1_000;
        while (fixture.clock.now() < endMs) {
            fixture.clock.runUntil(fixture.clock.now() + spacingMs);
            for (let upstream = first; upstream <= last; upstream += 1) {
                relay(fixture, `u-${upstream}`, requests, 0);
            }
        }
    },
);

When(
    "this instance sends {int} requests to upstream {int}",
    function(this: SiteWorld, count: number, upstream: number) {
        const { loads, clock } = fixtures.get(this)!;
        Array.from({ length: count }).forEach(() => loads.recordBegin(`u-${upstream}`, clock.now()));
    },
);

When(
    "upstream {int} states {int} requests to this instance",
    function(this: SiteWorld, upstream: number, running: number) {
        const { loads, clock } = fixtures.get(this)!;
        const answer = { sentMs: clock.now(), receivedMs: clock.now(), ...toRun };
        loads.recordAnswer(`u-${upstream}`, { running, waiting: 0, slots, pace: undefined }, answer);
    },
);

Then(
    "for {int} seconds upstreams {int} to {int} are estimated to have fewer requests than slots",
    function(this: SiteWorld, seconds: number, first: number, last: number) {
        const { loads, clock } = fixtures.get(this)!;
        for (let waitedMs = 0; waitedMs <= seconds * 1_000; waitedMs += 200) {
            for (let upstream = first; upstream <= last; upstream += 1) {
                const { requests } = loads.estimate(`u-${upstream}`, clock.now() + waitedMs)!;
                assert.ok(requests < slots, `${requests} at u-${upstream} after ${waitedMs} ms`);
            }
        }
    },
);

Then("own requests at an upstream that was replaced are known of {int} ms ago", (agoMs: number) => {
    const own = createOwnRequests();
    own.record("u-1", 1, 0);
    own.remove("u-1");
    own.record("u-1", 1, 100);
    own.record("u-1", -1, 200);
    own.record("u-1", -1, 300);
    assert.deepEqual([own.count("u-1"), own.countAt("u-1", 300 - agoMs)], [0, 2]);
});

When("{int} second(s) pass(es) without a statement", function(this: SiteWorld, seconds: number) {
    const { clock } = fixtures.get(this)!;
    clock.runUntil(clock.now() + seconds * 1_000);
});

When("upstream {int} is replaced by a new process", function(this: SiteWorld, upstream: number) {
    fixtures.get(this)!.loads.remove(`u-${upstream}`);
});

Then("nothing stated about upstream {int} is known", function(this: SiteWorld, upstream: number) {
    const { loads, clock } = fixtures.get(this)!;
    assert.equal(loads.estimate(`u-${upstream}`, clock.now()), undefined);
    assert.deepEqual(loads.listStatements(), []);
});

Then(
    "upstream {int} is estimated to have between {float} and {float} requests, with a deviation {word} {float}",
    function(this: SiteWorld, upstream: number, low: number, high: number, side: string, bound: number) {
        const { loads, clock } = fixtures.get(this)!;
        const { requests, deviation } = loads.estimate(`u-${upstream}`, clock.now())!;
        assert.ok(requests >= low && requests <= high, `estimated ${requests}`);
        assert.ok(side === "above" ? deviation > bound : deviation < bound, `deviation ${deviation}`);
    },
);

function statePaces({ loads, clock }: LoadFixture, upstream: string, choosePace: () => number): void {
    for (let index = 0; index < 300; index += 1) {
        clock.runUntil(clock.now() + 100);
        const answer = { sentMs: clock.now(), receivedMs: clock.now(), ...toRun };
        loads.recordAnswer(upstream, { running: 1, waiting: 0, slots, pace: choosePace() }, answer);
    }
}

When(
    "upstream {int} states a pace that jumps between {float} and {float} at random each 100 ms",
    function(this: SiteWorld, upstream: number, low: number, high: number) {
        const fixture = fixtures.get(this)!;
        statePaces(fixture, `u-${upstream}`, () => (fixture.clock.random() < 0.5 ? low : high));
    },
);

When("upstream {int} states a pace of {int} at all times", function(this: SiteWorld, upstream: number, pace: number) {
    statePaces(fixtures.get(this)!, `u-${upstream}`, () => pace);
});

Then(
    "half a second later upstream {int} is estimated at a pace between {float} and {float}",
    function(this: SiteWorld, upstream: number, low: number, high: number) {
        const { loads, clock } = fixtures.get(this)!;
        const { pace } = loads.estimate(`u-${upstream}`, clock.now() + 500)!;
        assert.ok(pace >= low && pace <= high, `estimated ${pace}`);
    },
);

Then(
    "over {int} random texts with seed {int} a relay that is malformed adds no statement of an unknown upstream",
    function(runs: number, seed: number) {
        const bytes = fc.uint8Array({ maxLength: 64 }).map(one => Buffer.from(one).toString("base64"));
        fc.assert(
            fc.property(fc.oneof(fc.string(), bytes), text => {
                const loads = createUpstreamLoads(() => ({ service: "plain", slots }));
                const exchange = createLoadExchange({ loads, listUpstreams: () => [], digestUpstreams: () => "" });
                exchange.receive(text, 1_000);
                assert.deepEqual(loads.listStatements(), []);
            }),
            { numRuns: runs, seed },
        );
    },
);

const relayPlans = new WeakMap<SiteWorld, Pick<RelayPlan, "instances" | "upstreams">>();
const relays = new WeakMap<SiteWorld, RelayResult>();

Given(
    "{int} instances that relay the loads of {int} upstreams with each heartbeat",
    function(this: SiteWorld, instances: number, upstreams: number) {
        relayPlans.set(this, { instances, upstreams });
    },
);

When(
    "each upstream answers {int} requests a second for {int} seconds, each of a random instance",
    function(this: SiteWorld, answersPerSecond: number, seconds: number) {
        const times = { answersPerSecond, durationMs: seconds * 1_000 };
        relays.set(this, playRelay({ seed: 11, lossShare: 0.02, ...times, ...relayPlans.get(this)! }));
    },
);

Then("the known statements are at most {int} ms old in the mean", function(this: SiteWorld, bound: number) {
    const { agesMs, knownShare } = relays.get(this)!;
    const mean = agesMs.reduce((sum, age) => sum + age, 0) / agesMs.length;
    assert.ok(mean <= bound, `${mean} ms`);
    assert.equal(knownShare, 1);
});

Then("no heartbeat has more of them than its plan allows", function(this: SiteWorld) {
    const { longestText, allowedText } = relays.get(this)!;
    assert.ok(longestText > 0 && longestText <= allowedText, `${longestText} of ${allowedText}`);
});

Given(
    "{int} instances before {int} plain upstreams of different speed whose pace jumps, with statements {int} ms old",
    function(this: SiteWorld, instances: number, upstreams: number, ageMs: number) {
        const times = { paceHoldMs: 150, durationMs: 20_000 };
        plans.set(this, {
            policy: "estimate",
            seed: 0,
            instances,
            upstreams,
            slots: 6,
            ageMs,
            utilisation: 0,
            ...times,
        });
    },
);

When(
    "their capacity is used to {float}, with seed {int}",
    function(this: SiteWorld, utilisation: number, seed: number) {
        plans.set(this, { ...plans.get(this)!, utilisation, seed });
        plays.set(this, playEvenLoad(plans.get(this)!));
    },
);

When(
    "their capacity is used to {float}, with seed {int}, and one instance hears nothing of the others",
    function(this: SiteWorld, utilisation: number, seed: number) {
        plans.set(this, { ...plans.get(this)!, utilisation, seed, cutOff: 0 });
        plays.set(this, playEvenLoad(plans.get(this)!));
    },
);

Then("the busiest upstream has at most {float} of the mean", function(this: SiteWorld, bound: number) {
    const { busiestOverMean } = plays.get(this)!;
    assert.ok(busiestOverMean <= bound, `${busiestOverMean}`);
});

Then("fewer requests wait than if each instance counted its own requests alone", function(this: SiteWorld) {
    const before = playEvenLoad({ ...plans.get(this)!, policy: "ownRequests" });
    assert.ok(plays.get(this)!.waitP99Ms < before.waitP99Ms);
    assert.ok(plays.get(this)!.idleWhileQueued < before.idleWhileQueued);
    assert.ok(plays.get(this)!.rejected < before.rejected);
});

Then("the instance that hears nothing has placed requests on every upstream", function(this: SiteWorld) {
    assert.ok(plays.get(this)!.firstPlaced.every(count => count > 0));
});

function place(fixture: PlacerFixture, id: string, isModel: boolean): string {
    const req = isModel
        ? createProxyRequest("stream", { id, prompt: createPrompt() })
        : createProxyRequest("idempotent", { id, prompt: undefined });
    let placedAt = "";
    fixture.placer.place(req, { kind: "place", excluded: [] }, result => {
        assert.ok(result.kind === "placed");
        placedAt = result.placement.upstream.id;
    });
    fixture.placer.end(req);
    return placedAt;
}

Given(
    "two plain upstreams with 6 slots, of which the first states {int} running and {int} waiting requests",
    function(this: SiteWorld, running: number, waiting: number) {
        const clock = createVirtualClock(3);
        const fixture = createPlacerFixture(clock, ["u-1", "u-2"], false);
        relay({ clock, loads: fixture.loads }, "u-1", running, 50, waiting);
        relay({ clock, loads: fixture.loads }, "u-2", 1, 50);
        placers.set(this, fixture);
    },
);

Then(
    "of {int} requests at that moment at most {int} are placed on the first",
    function(this: SiteWorld, count: number, bound: number) {
        const placed = Array.from({ length: count }, (_, index) => place(placers.get(this)!, `r-${index}`, false));
        assert.ok(placed.filter(id => id === "u-1").length <= bound);
    },
);

Given(
    "one plain upstream of a small fleet that stated its pace, {int} running and {int} waiting requests",
    function(this: SiteWorld, running: number, waiting: number) {
        const clock = createVirtualClock(3);
        const fixture = createPlacerFixture(clock, ["u-1"]);
        const statement = { upstream: "u-1", atMs: clock.now(), running, waiting, slowness: undefined };
        fixture.loads.recordRelayed([{ ...statement, pace: 1 }]);
        placers.set(this, fixture);
    },
);

const placedMs = new WeakMap<SiteWorld, number>();

When("a request waits and no event happens", function(this: SiteWorld) {
    const { clock, loads, placer } = placers.get(this)!;
    repeatEvery(clock, 300, () => retryAsLoadsFade({ loads, isFleetDirect: true, retry: placer.dispatch }));
    const req = createProxyRequest("idempotent", { id: "r-1", prompt: undefined });
    placer.place(req, { kind: "place", excluded: [] }, result => {
        assert.equal(result.kind, "placed");
        placedMs.set(this, clock.now());
    });
    assert.equal(placedMs.get(this), undefined);
    clock.runUntil(clock.now() + 2_000);
});

Then("it is placed within {int} ms", function(this: SiteWorld, bound: number) {
    assert.ok(placedMs.get(this)! <= bound, `${placedMs.get(this)}`);
});

Given(
    "two engines of which {string} is home to a prompt and has its shared parts in its cache",
    function(this: SiteWorld, home: string) {
        const fixture = createPlacerFixture(createVirtualClock(3), ["u-1", "u-2"], false);
        const shared = createPrompt().parts.slice(0, -1);
        fixture.parts.applyEvents(home, shared.map(({ id, tokens }) => ({ salt: firstSalt, part: id, tokens })));
        placers.set(this, fixture);
    },
);

Then(
    "a request is placed on {string} while {string} states {int} waiting requests",
    function(this: SiteWorld, expected: string, home: string, waiting: number) {
        const fixture = placers.get(this)!;
        const { clock, loads } = fixture;
        clock.runUntil(clock.now() + 1_000);
        ["u-1", "u-2"].forEach(id => relay({ clock, loads }, id, 3, 0, id === home ? waiting : 0));
        assert.equal(place(fixture, `r-${waiting}`, true), expected);
    },
);

Then(
    "over {int} random lists with seed {int} candidates without a load are ranked by requests and failure domain",
    function(runs: number, seed: number) {
        const candidate = fc.record({ requests: fc.nat({ max: 12 }), isSameFailureDomain: fc.boolean() });
        const noUse = { memoryTokens: 0, unreadTokens: 0 };
        fc.assert(
            fc.property(fc.array(candidate, { maxLength: 8 }), list => {
                const candidates = list.map(({ requests, isSameFailureDomain }, index) => ({
                    id: `u-${index}`,
                    use: { requests, ...noUse },
                    unreported: noUse,
                    slots,
                    memoryTokens: undefined,
                    prefillTokens: 0,
                    repeatedTokens: 0,
                    neededTokens: 0,
                    isOutdated: false,
                    isSameFailureDomain,
                }));
                const cost = (one: (typeof candidates)[number]) =>
                    one.use.requests * 40 + (one.isSameFailureDomain ? 0 : 150);
                const expected = candidates.filter(one => one.use.requests < slots)
                    .toSorted((left, right) => cost(left) - cost(right));
                assert.deepEqual(rankPlacements(candidates), expected);
            }),
            { numRuns: runs, seed },
        );
    },
);

Then("the summary of the loads of upstreams with {int}, {int} and {int} requests has a spread of {float}", function(
    first: number,
    second: number,
    third: number,
    spread: number,
) {
    const loads = createUpstreamLoads(() => ({ service: "plain", slots }));
    [first, second, third].forEach((running, index) => {
        loads.recordRelayed([{ upstream: `u-${index}`, atMs: 100, running, waiting: 0, ...noSlowness }]);
    });
    const upstreams = [0, 1, 2].map(index => ({ id: `u-${index}`, service: "plain", slots }));
    const summary = describeLoadView(upstreams, upstream => loads.estimate(upstream, 100));
    assert.deepEqual(summary, { ageMs: 0, spread });
});
