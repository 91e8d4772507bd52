/**
 * @module
 * Steps that check routing on a simulated site and how hot prefixes spread over upstreams.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type BaselineName, createBaseline } from "../../bench/routing/createBaseline.js";
import { createReedwardPolicy } from "../../bench/routing/createReedwardPolicy.js";
import { createWorkload } from "../../bench/routing/createWorkload.js";
import { type PolicyResult, type PresetName, type RunPlan, siteShapes } from "../../bench/routing/simTypes.js";
import { simulate } from "../../bench/routing/simulate.js";
import { createCacheView } from "../../src/core/cache/createCacheView.js";
import type { Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { blockTokens } from "../../src/core/constants.js";
import { type CostRouter, createCostRouter } from "../../src/core/routing/createCostRouter.js";
import { createFrequencySketch } from "../../src/core/routing/createFrequencySketch.js";
import { createLoadView } from "../../src/core/routing/createLoadView.js";
import type { RouteRequest } from "../../src/core/routing/routeTypes.js";
import { routingPresets } from "../../src/core/routing/routingPresets.js";

const plan: RunPlan = {
    seed: 7,
    fault: "none",
    warmUpMs: 20_000,
    endMs: 80_000,
    faultMs: 50_000,
    eventLoss: 0,
    eventDelayMs: 500,
    loadLagMs: 1_000,
};

let preset: PresetName = "lectura";
let results: Record<string, PolicyResult> = {};
let faulty: PolicyResult | undefined;

function run(name: BaselineName | "reedward", changed: RunPlan): PolicyResult {
    const shape = siteShapes[preset];
    return simulate(shape, changed, createWorkload(shape, changed), (context, clock) =>
        name === "reedward"
            ? createReedwardPolicy(context, clock, { readsEvents: true, sampleEvery: 1, exchangeIntervalMs: 250 })
            : createBaseline(name, context));
}

When(/^the site of (\w+) runs with reedward, leastLoaded, rendezvous and oracle$/, (name: PresetName) => {
    preset = name;
    results = {};
    for (const policy of ["reedward", "leastLoaded", "rendezvous", "oracle"] as const) {
        results[policy] = run(policy, plan);
    }
});

Then("the hit rate of reedward is at least {float} of the oracle's", (share: number) => {
    assert.ok(results["reedward"]!.hitRate >= share * results["oracle"]!.hitRate, JSON.stringify(results));
    // A policy that ignores caches must miss the same bound.
    assert.ok(results["leastLoaded"]!.hitRate < share * results["oracle"]!.hitRate);
});

Then("the wasted tokens of reedward are under half of leastLoaded's", () => {
    assert.ok(results["reedward"]!.wastedTokens < results["leastLoaded"]!.wastedTokens / 2, JSON.stringify(results));
});

When(/^the site of \w+ runs with (\d+) % of events lost$/, (percent: string) => {
    faulty = run("reedward", { ...plan, eventLoss: Number(percent) / 100 });
});

Then("the hit rate is within {int} points of that without loss", (points: number) => {
    assert.ok(faulty!.hitRate >= results["reedward"]!.hitRate - points / 100, JSON.stringify(faulty));
});

When(/^the site of \w+ runs with reports (\d+) s old$/, (seconds: string) => {
    faulty = run("reedward", { ...plan, loadLagMs: Number(seconds) * 1000 });
});

Then("the p99 time to first token is below that of leastLoaded without the lag", () => {
    assert.ok(faulty!.ttftP99Ms < results["leastLoaded"]!.ttftP99Ms, JSON.stringify(faulty));
});

Then("leastLoaded with reports {int} s old misses that bound", (seconds: number) => {
    const lagging = run("leastLoaded", { ...plan, loadLagMs: seconds * 1000 });
    assert.ok(lagging.ttftP99Ms >= results["leastLoaded"]!.ttftP99Ms, JSON.stringify(lagging));
});

const sharedBlocks = 20;
const caseBlocks = 12;
let router: CostRouter;
let load = createLoadView();
let nowMs = 0;
let nextCase = 0;
let preferred = new Set<string>();
let placedBlocks: readonly bigint[] | undefined;

function createUpstream(index: number): Upstream {
    return {
        kind: "upstream",
        id: `engine-${index + 1}`,
        owner: "operations",
        address: "127.0.0.1:1",
        failureDomain: "rennes-a",
        role: "engine",
        serves: ["model"],
        fencesOrders: false,
        slots: 1_000,
        prefillTokensPerSecond: 8_000,
        leaving: false,
    };
}

function createCase(): RouteRequest {
    nextCase += 1;
    const shared = Array.from({ length: sharedBlocks }, (_, index) => BigInt(index + 1) * 0x9e37_79b9_7f4an);
    const own = Array.from({ length: caseBlocks }, (_, index) => BigInt(nextCase * 100 + index) * 0x85eb_ca6b_c2b2n);
    return {
        scope: { customer: "traveller", model: "model", weightsVersion: "v1", adapter: undefined },
        blocks: [...shared, ...own],
        promptTokens: (sharedBlocks + caseBlocks) * blockTokens,
        excluded: new Set(),
    };
}

Given("a router with {int} upstreams", (count: number) => {
    const upstreams = Array.from({ length: count }, (_, index) => createUpstream(index));
    load = createLoadView();
    router = createCostRouter({
        listCandidates: () => upstreams,
        cache: createCacheView({ maxBytes: 1 << 20, sampleEvery: 1 }),
        load,
        frequencies: createFrequencySketch({ width: 1024, decayMs: 10_000 }),
        readSpread: () => ({ instances: 1, instancesPerCustomer: 1 }),
        onPlaced: (...[, , blocks]) => {
            placedBlocks = blocks;
        },
        preset: () => routingPresets.compagnon,
        now: () => nowMs,
        random: () => 0,
    });
});

When("a prompt shorter than one block arrives", () => {
    assert.ok(router.chooseUpstream({ ...createCase(), blocks: [], promptTokens: 10 }).isOk);
});

Then("no block is reported to peers", () => {
    assert.deepEqual(placedBlocks, []);
});

When(/^(\d+) requests a second of one prefix arrive for (\d+) s$/, (perSecond: string, seconds: string) => {
    const intervalMs = 1000 / Number(perSecond);
    const endMs = nowMs + Number(seconds) * 1000;
    const recentMs = endMs - 5_000;
    preferred = new Set();
    while (nowMs < endMs) {
        nowMs += intervalMs;
        const req = createCase();
        const { upstream, candidates } = router.chooseUpstream(req).unwrapOr(undefined)!;
        load.recordInFlight(upstream.id, 1);
        router.reportFeedback({ upstream: upstream.id, req, cachedBlocks: sharedBlocks, incarnation: "a/1" });
        load.recordInFlight(upstream.id, -1);
        if (nowMs > recentMs) {
            preferred.add(candidates[0]!.upstream);
        }
    }
});

Then(/^its cases have (at least )?(\d+) preferred upstreams?$/, (atLeast: string | undefined, count: string) => {
    assert.ok(
        atLeast === undefined ? preferred.size === Number(count) : preferred.size >= Number(count),
        [...preferred].join(" "),
    );
});
