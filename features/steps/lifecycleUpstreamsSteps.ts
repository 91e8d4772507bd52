/**
 * @module
 * Steps for the draining of upstreams.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { createFleet, type Fleet } from "../../bench/membership/createFleet.js";
import { createSiteEntries, startSite } from "../../demo/startSite.js";
import { type FakePlatform, startFakePlatform } from "../../fakes/startFakePlatform.js";
import type { Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { createDrainTracker, type DrainTracker } from "../../src/core/upstreams/createDrainTracker.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface DrainState {
    readonly fleet: Fleet;
    readonly trackers: readonly DrainTracker[];
}

const states = new WeakMap<SiteWorld, DrainState>();
const platforms = new WeakMap<SiteWorld, FakePlatform>();
const settleMs = 60_000;
const [leaving, staying] = createSiteEntries(["10.1.0.1:9000", "10.1.0.2:9000"], "10.1.0.3:9000")
    .filter((entry): entry is Upstream => entry.kind === "upstream") as [Upstream, Upstream];

function startInstances(world: SiteWorld, size: number, isSentNow: boolean): void {
    const trackers: DrainTracker[] = [];
    const fleet: Fleet = createFleet({
        size,
        seed: 5,
        failureDomains: ["bilbao-a", "bilbao-b", "vitoria", "donostia"],
        attachments: index => {
            trackers[index] = createDrainTracker({
                clock: {
                    now: () => fleet.clock.now(),
                    wallNow: () => fleet.clock.wallNow(),
                    after: () => () => undefined,
                },
                sendNow: () => isSentNow ? fleet.processes[index]!.membership.gossipSoon() : undefined,
                countPeers: () => size,
            });
            return [trackers[index]!.attachment];
        },
    });
    fleet.runFor(settleMs);
    states.set(world, { fleet, trackers });
}

Given("{int} instances that share drain signals", function(this: SiteWorld, size: number) {
    startInstances(this, size, true);
});

Given("{int} instances that share drain signals but do not send them at once", function(this: SiteWorld, size: number) {
    startInstances(this, size, false);
});

When(
    "instance {int} learns from the instance list that an upstream is leaving",
    function(this: SiteWorld, one: number) {
        states.get(this)!.trackers[one - 1]!.applyInstanceList([{
            address: leaving.address,
            role: "upstream",
            state: "leaving",
        }]);
    },
);

When("instance {int} learns from the engine that an upstream is leaving", function(this: SiteWorld, one: number) {
    states.get(this)!.trackers[one - 1]!.recordEngineState(leaving.address, true);
});

When("{int} s pass for the instances", function(this: SiteWorld, seconds: number) {
    states.get(this)!.fleet.runFor(seconds * 1000);
});

function countWithout(world: SiteWorld, upstream: Upstream): number {
    return states.get(world)!.trackers.filter(one => !one.selectServing([leaving, staying]).includes(upstream)).length;
}

Then("all {int} instances give the upstream no work", function(this: SiteWorld, size: number) {
    assert.equal(countWithout(this, leaving), size);
});

Then("all {int} instances still give work to another upstream", function(this: SiteWorld, size: number) {
    assert.equal(countWithout(this, staying), 0);
    assert.equal(states.get(this)!.trackers.length, size);
});

Then("not all {int} instances give the upstream no work", function(this: SiteWorld, size: number) {
    assert.ok(countWithout(this, leaving) < size);
});

Then("an upstream that the catalogue marks as leaving gets no work", function(this: SiteWorld) {
    for (const one of states.get(this)!.trackers) {
        assert.deepEqual(one.selectServing([{ ...leaving, leaving: true }, staying]), [staying]);
    }
});

Then(
    "an upstream that did not run a request is avoided for a while, but not when it is the last one",
    function(this: SiteWorld) {
        const { fleet, trackers: [one] } = states.get(this)!;
        one!.recordNotRun(leaving.address);
        assert.deepEqual(one!.selectServing([leaving, staying]), [staying]);
        assert.deepEqual(one!.selectServing([leaving]), [leaving]);
        fleet.runFor(2000);
        assert.deepEqual(one!.selectServing([leaving, staying]), [leaving, staying]);
    },
);

Given(
    "a site with an instance list, {int} daemons and {int} engines",
    async function(this: SiteWorld, daemons: number, engines: number) {
        const platform = await startFakePlatform();
        this.cleanups.push(platform.close);
        platforms.set(this, platform);
        const flags = ["--instance-list-url", `http://${platform.address}/instances`];
        this.site = await startSite({ daemons, engines, flags });
    },
);

When("the instance list reports engine {int} as leaving", function(this: SiteWorld, engine: number) {
    const { address } = this.site!.engines[engine - 1]!;
    platforms.get(this)!.setInstances([{ address, role: "upstream", state: "leaving" }]);
});

When("engine {int} reports that it is leaving", function(this: SiteWorld, engine: number) {
    this.site!.engines[engine - 1]!.setDraining(true);
});

When("{int} s pass on the site", async function(this: SiteWorld, seconds: number) {
    await delay(seconds * 1000);
});

When("each daemon streams {int} different prompts", async function(this: SiteWorld, count: number) {
    for (const [index, daemon] of this.site!.daemons.entries()) {
        for (let prompt = 0; prompt < count; prompt += 1) {
            const res = await fetch(`http://${daemon.callerAddress()}/v1/completions`, {
                method: "POST",
                headers: { authorization: "Bearer clinic:secret-clinic", "content-type": "application/json" },
                body: JSON.stringify({ model: "easy-read", prompt: `${index}/${prompt} `.repeat(200), max_tokens: 1 }),
            });
            assert.equal(res.status, 200, await res.text());
        }
    }
});

Then(
    "engine {int} ran no request and engine {int} ran {int}",
    function(this: SiteWorld, left: number, right: number, count: number) {
        assert.equal(this.site!.engines[left - 1]!.runs.size, 0);
        assert.equal(this.site!.engines[right - 1]!.runs.size, count);
    },
);

Then(
    "engine {int} received no request and engine {int} ran {int}",
    async function(this: SiteWorld, left: number, right: number, count: number) {
        assert.equal(this.site!.engines[left - 1]!.runs.size, 0);
        assert.equal(this.site!.engines[right - 1]!.runs.size, count);
        for (const daemon of this.site!.daemons) {
            const metrics = await fetch(`http://${daemon.callerAddress()}/metrics`).then(res => res.text());
            assert.doesNotMatch(metrics, /^reedward_retries_total\{reason="upstreamNotRun"\}/m);
        }
    },
);
