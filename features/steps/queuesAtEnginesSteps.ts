/**
 * @module
 * Steps on queues at engines: what instances know of them, and what that does to callers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createPromptKinds } from "../../bench/evenLoad/createPromptKinds.js";
import { type EngineQueuesResult, playEngineQueues } from "../../bench/evenLoad/playEngineQueues.js";
import { createPlacerFixture, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import {
    createPlainPlacement,
    createPrompt,
    createProxyRequest,
    createRecord,
} from "../../bench/support/proxyFixtures.js";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { LoadEstimate } from "../../src/core/load/loadTypes.js";
import { describeMetQueue, type MetQueue } from "../../src/io/proxy/describeMetQueue.js";
import type { SiteWorld } from "../support/siteWorld.js";

const metQueues = new WeakMap<SiteWorld, { readonly met: MetQueue | undefined; }>();

const slots = 24;

When(
    "an upstream that was expected to have {int} waiting requests states {int}",
    function(this: SiteWorld, waiting: number, stated: number) {
        const estimate: LoadEstimate = {
            requests: 5,
            deviation: 1,
            waiting,
            slots,
            pace: 1,
            isPaceStated: true,
            queueLimit: undefined,
            ageMs: 300,
        };
        const placement = {
            ...createPlainPlacement(createRecord()),
            load: { estimate, requests: 5, waitingTokens: 0 },
        };
        const load = { running: 9, waiting: stated, slots, pace: 1 };
        metQueues.set(this, { met: describeMetQueue(createProxyRequest("stream"), placement, load, 120) });
    },
);

Then("the queue that was met is {string}", function(this: SiteWorld, expected: string) {
    const { met } = metQueues.get(this)!;
    assert.equal(met === undefined ? "none" : met.isExpected ? "expected" : "unexpected", expected);
    if (met !== undefined) {
        assert.equal(met.fields["running"], 9);
        assert.equal(met.fields["loadAgeMs"], 300);
        assert.equal(met.fields["tookMs"], 120);
    }
});

interface Herd {
    readonly clock: VirtualClock;
    readonly instances: readonly PlacerFixture[];
    readonly placed: Map<string, number>;
}

const herds = new WeakMap<SiteWorld, Herd>();

Given(
    "{int} instances that heard the same of {int} engines {int} ms ago: requests wait at all but one",
    function(this: SiteWorld, instanceCount: number, engineCount: number, ageMs: number) {
        const clock = createVirtualClock(65);
        clock.runUntil(10_000);
        const engines = Array.from({ length: engineCount }, (_, index) => `u-${index + 1}`);
        const statements = engines.map(upstream => ({
            upstream,
            atMs: clock.now() - ageMs,
            running: upstream === "u-7" ? 2 : 6,
            waiting: upstream === "u-7" ? 0 : 4,
            pace: 1,
            slowness: undefined,
        }));
        const instances = Array.from({ length: instanceCount }, () => createPlacerFixture(clock, engines, false));
        instances.forEach(({ loads }) => loads.recordRelayed(statements));
        herds.set(this, { clock, instances, placed: new Map() });
    },
);

When(
    "they get {int} requests within {int} ms, with prompts of {int} shared and {int} own tokens",
    function(this: SiteWorld, requests: number, durationMs: number, shared: number, own: number) {
        const { clock, instances, placed } = herds.get(this)!;
        const startMs = clock.now();
        for (let index = 0; index < requests; index += 1) {
            clock.runUntil(startMs + index * durationMs / requests);
            const parts = [
                { id: `first-${index % 4}`, tokens: shared * 0.4 },
                { id: `case-${index}`, tokens: shared * 0.6 },
                { id: `own-${index}`, tokens: own },
            ];
            const prompt = createPrompt({ parts, promptTokens: shared + own });
            const { placer } = instances[Math.floor(clock.random() * instances.length)]!;
            const req = createProxyRequest("stream", {
                id: `r-${index}`,
                prompt,
                arrivedMs: clock.now(),
                deadlineMs: clock.now() + 5_000,
            });
            placer.place(req, { kind: "place", excluded: [] }, result => {
                assert.ok(result.kind === "placed");
                const { id } = result.placement.upstream;
                placed.set(id, (placed.get(id) ?? 0) + 1);
            });
        }
    },
);

Then("each engine got at most {int} of them", function(this: SiteWorld, bound: number) {
    const most = Math.max(...herds.get(this)!.placed.values());
    assert.ok(most <= bound, `one engine got ${most}`);
});

const results = new WeakMap<SiteWorld, EngineQueuesResult>();

When(
    "{int} instances before {int} engines get {int} long and {int} short prompts a second for {int} s, seed {int}",
    function(
        this: SiteWorld,
        instances: number,
        engines: number,
        longRate: number,
        shortRate: number,
        seconds: number,
        seed: number,
    ) {
        const kinds = createPromptKinds({ engines, longRate, shortRate });
        results.set(this, playEngineQueues({ instances, engines, seed }, kinds, seconds * 1_000));
    },
);

Then(
    "at least {int} % of the {string} prompts begin within {int} ms",
    function(this: SiteWorld, percent: number, kind: string, boundMs: number) {
        const starts = results.get(this)!.startsMs.get(kind)!;
        const share = starts.filter(startMs => startMs <= boundMs).length / starts.length;
        assert.ok(share * 100 >= percent, `${(share * 100).toFixed(1)} % began in time`);
    },
);

const fixtures = new WeakMap<SiteWorld, PlacerFixture>();

Given(
    "an instance of a large fleet whose requests need {int} tokens of an engine's memory",
    function(this: SiteWorld, tokens: number) {
        const fixture = createPlacerFixture(createVirtualClock(5), ["u-1"], false);
        fixture.loads.recordBegin("u-1", 0, tokens);
        fixture.loads.recordEnd("u-1", 100, 0);
        fixtures.set(this, fixture);
    },
);

When("the engine states {int} running requests of other instances", function(this: SiteWorld, running: number) {
    const { clock, loads } = fixtures.get(this)!;
    clock.runUntil(1_000);
    loads.recordRelayed([
        { upstream: "u-1", atMs: clock.now(), running, waiting: 0, pace: undefined, slowness: undefined },
    ]);
});

Then(
    "a request of {int} tokens is placed there: {string}",
    function(this: SiteWorld, tokens: number, expected: string) {
        const { clock, placer } = fixtures.get(this)!;
        let isPlaced = false;
        const req = createProxyRequest("stream", {
            id: "r-1",
            prompt: createPrompt({ parts: [{ id: "own", tokens }], promptTokens: tokens }),
            arrivedMs: clock.now(),
            deadlineMs: clock.now() + 5_000,
        });
        placer.place(req, { kind: "place", excluded: [] }, result => {
            isPlaced = result.kind === "placed";
        });
        assert.equal(isPlaced ? "yes" : "no", expected);
    },
);

Given(
    "an instance of a large fleet to which {int} engines state {int} requests on 8 slots, but for {string}, which states {int}",
    function(this: SiteWorld, count: number, running: number, other: string, otherRunning: number) {
        const engines = Array.from({ length: count }, (_, index) => `u-${index + 1}`);
        const fixture = createPlacerFixture(createVirtualClock(6), engines, false);
        const basis = { atMs: fixture.clock.now(), waiting: 0, pace: undefined, slowness: undefined };
        fixture.loads.recordRelayed(
            engines.map(upstream => ({ ...basis, upstream, running: upstream === other ? otherRunning : running })),
        );
        fixtures.set(this, fixture);
    },
);

const createModelRequest = () => createProxyRequest("stream", { id: "r-1", prompt: createPrompt() });

Then("a request is placed on {string}", function(this: SiteWorld, expected: string) {
    fixtures.get(this)!.placer.place(createModelRequest(), { kind: "place", excluded: [] }, result => {
        assert.equal(result.kind === "placed" ? result.placement.upstream.id : result.kind, expected);
    })();
});

Then("a preview has {string} as chosen", function(this: SiteWorld, expected: string) {
    const { upstreams } = fixtures.get(this)!.placer.preview(createModelRequest());
    assert.deepEqual(upstreams.filter(one => one.state === "chosen").map(one => one.upstream), [expected]);
});

Then("a preview has at most {int} engines that are considered", function(this: SiteWorld, bound: number) {
    const { upstreams } = fixtures.get(this)!.placer.preview(createModelRequest());
    const considered = upstreams.filter(one => one.state !== "notDrawn");
    assert.ok(considered.length <= bound, `${considered.length} are considered`);
    assert.equal(considered.filter(one => one.state === "chosen").length, 1);
});
