/**
 * @module
 * Steps on what upstreams state in their answers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { noRateLimits } from "../../bench/support/noRateLimits.js";
import { createPlacerFixture, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import { createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { createCodec } from "../../platform/createCodec.js";
import type { PlaceResult } from "../../src/core/proxy/proxyEffects.js";
import type { HeaderPair } from "../../src/core/proxy/proxyTypes.js";
import { type Closure, createSignalView, type SignalView } from "../../src/core/signals/createSignalView.js";
import type { AnswerSignals } from "../../src/core/signals/upstreamSignal.js";
import { signals } from "../../src/ctl/commands/signals.js";
import type { Invocation } from "../../src/ctl/commandTypes.js";
import { call, getFixture, plainCall, waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface SignalFixture {
    readonly view: SignalView;
    lastMs: number;
}

const placers = new WeakMap<SiteWorld, PlacerFixture>();
const results = new WeakMap<SiteWorld, PlaceResult>();
const views = new WeakMap<SiteWorld, SignalFixture>();
const decoded = new WeakMap<SiteWorld, AnswerSignals>();

const upstream = { id: "u-1", startedAtMs: 1 };
const instanceNames = ["first", "second"];

function toHeader(text: string): Readonly<Record<string, string>> {
    const [name = "", value = ""] = text.split(": ");
    return { [name]: value };
}

function decode(world: SiteWorld, headers: readonly HeaderPair[]): void {
    decoded.set(world, createCodec().readAnswer(200, headers, "u-1").signals);
}

function getView(world: SiteWorld): SignalFixture {
    const fixture = views.get(world) ?? {
        view: createSignalView({ self: "entry-1", findStartMs: () => 1, onChange: () => undefined }),
        lastMs: 0,
    };
    views.set(world, fixture);
    return fixture;
}

function recordAnswer(world: SiteWorld, limit: string, sentMs: number, receivedMs: number): void {
    const fixture = getView(world);
    const stated = limit === "none" ? [] : [{ kind: "rateLimit", requestsPerSecond: Number(limit) } as const];
    const answer = { signals: { stated, malformed: [] }, isRun: true, sentMs, receivedMs };
    fixture.view.recordAnswer({ upstream, ...answer });
    fixture.lastMs = Math.max(fixture.lastMs, receivedMs);
}

Given("the plain server states {string} in its answers", function(this: SiteWorld, header: string) {
    getFixture(this).plain.setAnswerHeaders(toHeader(header));
});

Given("the plain server rejects requests with {string}", function(this: SiteWorld, header: string) {
    getFixture(this).plain.setRejectionHeaders(toHeader(header));
});

When(
    "{int} plain call(s) is/are sent through the {word} instance",
    async function(this: SiteWorld, calls: number, name: string) {
        for (let index = 0; index < calls; index += 1) {
            await call(getFixture(this), instanceNames.indexOf(name), plainCall);
        }
    },
);

When("all instances have learned what the plain server states", async function(this: SiteWorld) {
    const { logged, instances } = getFixture(this);
    await waitUntil(
        "all instances have learned what the plain server states",
        () => logged.filter(one => one.event === "upstreamSignalChanged").length === instances.length,
    );
});

Then("the plain server has got {int} request(s)", function(this: SiteWorld, count: number) {
    const { plain } = getFixture(this);
    assert.equal(plain.runs.length + plain.countRejections(), count);
});

Then("the caller is refused because no upstream is available", function(this: SiteWorld) {
    const { answer } = getFixture(this);
    assert.equal(answer?.status, 503);
    assert.match(answer.text, /noUpstream/);
});

Then("the caller is told to come back after {int} s or more", function(this: SiteWorld, seconds: number) {
    const { answer } = getFixture(this);
    assert.equal(answer?.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) >= seconds, String(answer.headers["retry-after"]));
});

Then("one malformed statement is logged", function(this: SiteWorld) {
    const { logged } = getFixture(this);
    assert.equal(logged.filter(one => one.event === "upstreamSignalMalformed").length, 1);
});

When(/^an answer states "(.*)" as its rate limit$/, function(this: SiteWorld, value: string) {
    decode(this, [["server-limit", value]]);
});

When("an answer states two rate limits", function(this: SiteWorld) {
    decode(this, [["server-limit", "2"], ["server-limit", "2"]]);
});

Then("it is decoded as {word}", function(this: SiteWorld, result: string) {
    const signals = decoded.get(this);
    const isMalformed = result === "malformed";
    assert.deepEqual(
        signals?.stated,
        isMalformed ? [] : [{ kind: "rateLimit", requestsPerSecond: Number(result) }],
    );
    assert.equal(signals.malformed.length, isMalformed ? 1 : 0);
});

Given(
    "an upstream stated {word} in an answer to a request of {int} ms that arrived at {int} ms",
    function(this: SiteWorld, limit: string, sentMs: number, receivedMs: number) {
        recordAnswer(this, limit, sentMs, receivedMs);
    },
);

When(
    "it states {word} in an answer to a request of {int} ms that arrives at {int} ms",
    function(this: SiteWorld, limit: string, sentMs: number, receivedMs: number) {
        recordAnswer(this, limit, sentMs, receivedMs);
    },
);

Then("its rate limit is {word} then", function(this: SiteWorld, result: string) {
    const { view, lastMs } = getView(this);
    const [report] = view.listReports(lastMs);
    assert.equal(report?.kind, "rateLimit");
    assert.equal(report.requestsPerSecond, result === "ending" ? undefined : Number(result));
});

Then(
    "{int} ms after it the rate is {word} requests a second",
    function(this: SiteWorld, afterMs: number, rate: string) {
        const { view, lastMs } = getView(this);
        assert.equal(view.findRateLimit(upstream.id, lastMs + afterMs), Number(rate));
    },
);

Then("{int} ms after it the rate is free", function(this: SiteWorld, afterMs: number) {
    const { view, lastMs } = getView(this);
    assert.equal(view.findRateLimit(upstream.id, lastMs + afterMs), undefined);
});

Then("a request every {int} s is allowed", function(this: SiteWorld, seconds: number) {
    const { view, lastMs } = getView(this);
    assert.equal(view.findRateLimit(upstream.id, lastMs), 1 / seconds);
});

Then(
    "reedwardctl lists a rate limit of {float} at the first instance, told to {string}",
    async function(this: SiteWorld, limit: number, source: string) {
        const address = getFixture(this).instances[0]!.settings.peerAddress;
        const result = await signals({ address } as Invocation);
        assert.match(result.lines.join("\n"), new RegExp(`i-3 +${limit}/s +.* +${source} +entry-[12]`));
    },
);

const closures: ReadonlyMap<string, readonly Closure[]> = new Map([
    ["none", []],
    ["leaving", [{ kind: "leaving", untilMs: Infinity }]],
    ["pausing for 3000 ms", [{ kind: "retryAfter", untilMs: 3_000 }]],
    ["pausing for 3000 ms, leaving", [
        { kind: "retryAfter", untilMs: 3_000 },
        { kind: "leaving", untilMs: Infinity },
    ]],
    ["pausing for 3000 ms and for 900 ms", [
        { kind: "retryAfter", untilMs: 3_000 },
        { kind: "retryAfter", untilMs: 900 },
    ]],
    ["pausing for 90000 ms", [{ kind: "retryAfter", untilMs: 90_000 }]],
]);

Given(/^a placer whose upstreams are (.*)$/, function(this: SiteWorld, text: string) {
    const list = closures.get(text);
    assert.ok(list !== undefined, text);
    const ids = list.map((_, index) => `e-${index + 1}`);
    const signalsView = { findClosure: (id: string) => list[ids.indexOf(id)] };
    placers.set(this, createPlacerFixture(createVirtualClock(1), ids, true, noRateLimits, signalsView));
});

When("a request is placed", function(this: SiteWorld) {
    const { placer } = placers.get(this)!;
    placer.place(createProxyRequest("idempotent"), { kind: "place", excluded: [] }, result => {
        results.set(this, result);
    });
});

Then("it is refused at once, to come back after {int} ms", function(this: SiteWorld, delayMs: number) {
    const result = results.get(this);
    assert.equal(result?.kind, "refused");
    assert.equal(result.refusal.kind, "noUpstream");
    assert.equal(result.refusal.retryAfterMs, delayMs);
});
