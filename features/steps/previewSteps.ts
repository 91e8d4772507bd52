/**
 * @module
 * Steps that preview placements, on views without a network and at instances on loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    createEngineRecord,
    createPlacerFixture,
    firstSalt,
    type PlacerFixture,
} from "../../bench/support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { PlacementDecision } from "../../src/core/placement/previewPlacement.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import { runCommand } from "../../src/ctl/runCommand.js";
import { getFixture } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface PreviewFixture extends PlacerFixture {
    readonly engines: readonly string[];
    readonly req: ProxyRequest;
    previews: readonly PlacementDecision[];
}

interface CommandRun {
    readonly exitCode: number;
    readonly text: string;
}

const fixtures = new WeakMap<SiteWorld, PreviewFixture>();
const runs = new WeakMap<SiteWorld, CommandRun>();

const sharedParts = [{ id: "style", tokens: 2_000 }, { id: "case", tokens: 4_000 }];

function createRequest(id: string): ProxyRequest {
    const prompt = createPrompt({ parts: [...sharedParts, { id, tokens: 1_000 }] });
    return createProxyRequest("stream", { id, prompt, arrivedMs: 0, deadlineMs: 4_000 });
}

function fillEngine({ use, clock }: PreviewFixture, upstream: string): void {
    for (let index = 0; index < 1_000; index += 1) {
        use.begin(`${upstream}-${index}`, {
            upstream,
            ownTokens: 1_000,
            sharedKey: "",
            sharedTokens: 0,
            unreadTokens: 0,
        }, clock.now());
    }
}

const conditions: ReadonlyMap<string, (fixture: PreviewFixture, engine: string) => void> = new Map([
    ["is draining", ({ registry, clock }: PreviewFixture, engine: string) => {
        registry.applyChanges([{ kind: "put", record: createEngineRecord(engine, { isDraining: true }) }], clock.now());
    }],
    ["loads weights", ({ weights }: PreviewFixture, engine: string) => weights.setLoading("peer", [engine])],
    ["was replaced", ({ health }: PreviewFixture, engine: string) => health.recordMisdirected(engine)],
    ["is full", fillEngine],
]);

Given(
    "a placer with engines {string} of which {string} has cached the shared parts",
    function(this: SiteWorld, names: string, holder: string) {
        const engines = names.split(", ");
        const fixture = createPlacerFixture(createVirtualClock(1), engines);
        fixture.parts.applyEvents(holder, sharedParts.map(({ id, tokens }) => ({ salt: firstSalt, part: id, tokens })));
        fixtures.set(this, { ...fixture, engines, req: createRequest("r-1"), previews: [] });
    },
);

Given(/^engine "([^"]+)" (.+)$/, function(this: SiteWorld, engine: string, condition: string) {
    conditions.get(condition)!(fixtures.get(this)!, engine);
});

When("a request is previewed {int} times", function(this: SiteWorld, count: number) {
    const fixture = fixtures.get(this)!;
    fixture.previews = Array.from({ length: count }, () => fixture.placer.preview(fixture.req));
});

Then("each preview says that it would be sent to {string}", function(this: SiteWorld, engine: string) {
    for (const { decision, detail, upstreams } of fixtures.get(this)!.previews) {
        assert.equal(decision, "placed");
        assert.ok(detail.startsWith(`would be sent to ${engine},`), detail);
        assert.equal(upstreams.find(one => one.state === "chosen")?.upstream, engine);
    }
});

Then("each preview says that it would wait", function(this: SiteWorld) {
    assert.ok(fixtures.get(this)!.previews.every(({ decision }) => decision === "waits"));
});

Then("{string} is listed as {string}", function(this: SiteWorld, engine: string, state: string) {
    const [preview] = fixtures.get(this)!.previews;
    assert.equal(preview?.upstreams.find(one => one.upstream === engine)?.state, state);
});

Then("no engine is in use and nothing waits", function(this: SiteWorld) {
    const { engines, use, placer, prefills } = fixtures.get(this)!;
    assert.deepEqual(engines.map(engine => use.read(engine).requests), engines.map(() => 0));
    assert.equal(placer.countWaiting(), 0);
    assert.deepEqual(prefills, []);
});

Then("the request is then placed at {string}", function(this: SiteWorld, engine: string) {
    const { placer, req } = fixtures.get(this)!;
    let placedAt: string | undefined;
    placer.place(req, { kind: "place", excluded: [] }, result => {
        placedAt = result.kind === "placed" ? result.placement.upstream.id : undefined;
    });
    assert.equal(placedAt, engine);
});

When(
    "reedwardctl previews {string} for customer {string}",
    async function(this: SiteWorld, target: string, customer: string) {
        const { peerAddress } = getFixture(this).instances[0]!.settings;
        let text = "";
        const write = (part: string) => {
            text += part;
        };
        const args = ["preview", target, "--customer", customer, "--address", peerAddress];
        const exitCode = await runCommand(args, {}, { writeOut: write, writeError: write });
        runs.set(this, { exitCode, text });
    },
);

Then("the preview says {string}", function(this: SiteWorld, expected: string) {
    const { exitCode, text } = runs.get(this)!;
    assert.equal(exitCode, 0, text);
    assert.ok(text.includes(expected), text);
});

Then("it fails with {string}", function(this: SiteWorld, reason: string) {
    const { exitCode, text } = runs.get(this)!;
    assert.equal(exitCode, 1, text);
    assert.ok(text.includes(reason), text);
});

Then("no upstream has received a request", function(this: SiteWorld) {
    const { engines, plain } = getFixture(this);
    assert.deepEqual([...engines, plain].map(server => server.runs.length), [0, 0, 0]);
});
