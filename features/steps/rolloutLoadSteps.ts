/**
 * @module
 * Steps that play a rollout on busy engines on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { runSteps } from "../../src/core/effects/runSteps.js";
import { computeOutdatedLimitMs } from "../../src/core/weights/computeOutdatedLimitMs.js";
import {
    type LoadEffect,
    type LoadEffectResults,
    type LoadEnd,
    loadWeights,
    type RunningRequests,
} from "../../src/core/weights/loadWeights.js";
import { planLoads } from "../../src/core/weights/planLoads.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** An engine that always has a stream that just began when an order arrives. */
interface BusyEngine {
    readonly id: string;
    version: number;
    isLoading: boolean;
    isBusy: boolean;
}

interface RolloutFixture {
    readonly clock: VirtualClock;
    readonly loadMs: number;
    readonly streamMs: number;
    readonly engines: readonly BusyEngine[];
    mostLoading: number;
    endedMs: number | undefined;
}

const rollouts = new WeakMap<SiteWorld, RolloutFixture>();
const targetVersion = 2;
const weightsLimitMs = 8_000;
const allLoadedLimitMs = 11_000;
const expectedLoadMs = 1_000;
const checkIntervalMs = 100;
const longestRunMs = 60_000;

function performOrder(rollout: RolloutFixture, engine: BusyEngine, runningRequests: RunningRequests): void {
    const waitMs = runningRequests === "endFirst" ? rollout.streamMs : 0;
    engine.isBusy = true;
    rollout.clock.after(waitMs + rollout.loadMs, () => {
        engine.version = targetVersion;
        engine.isBusy = false;
    });
}

function load(rollout: RolloutFixture, engine: BusyEngine): void {
    engine.isLoading = true;
    runSteps<LoadEnd, LoadEffect, LoadEffectResults>(
        loadWeights(targetVersion),
        {
            readState: (_, resume) => resume({ version: engine.version, isBusy: engine.isBusy, acceptedOrders: 0 }),
            order: ({ runningRequests }, resume) => {
                performOrder(rollout, engine, runningRequests);
                resume("accepted");
            },
            wait: ({ delayMs }, resume) => {
                rollout.clock.after(delayMs, () => resume(undefined));
            },
        },
        () => {
            engine.isLoading = false;
        },
        error => {
            throw error;
        },
    );
}

function check(rollout: RolloutFixture): void {
    const { clock, engines } = rollout;
    if (engines.every(engine => engine.version === targetVersion)) {
        rollout.endedMs = clock.now();
        return;
    }
    const candidates = engines.map(({ id, version, isLoading }) => ({
        id,
        version,
        isLoading,
        isOutdated: version < targetVersion,
        requests: 1,
        usableMs: version < targetVersion ? computeOutdatedLimitMs(weightsLimitMs) - clock.now() : Infinity,
        dueInMs: version < targetVersion ? allLoadedLimitMs - clock.now() : Infinity,
    }));
    const chosen = planLoads(candidates, { loadMs: expectedLoadMs });
    engines.filter(engine => chosen.includes(engine.id)).forEach(engine => load(rollout, engine));
    rollout.mostLoading = Math.max(rollout.mostLoading, engines.filter(engine => engine.isLoading).length);
    clock.after(checkIntervalMs, () => check(rollout));
}

Given(
    "{int} engines that load weights in {int} ms and run streams that last {int} ms",
    function(this: SiteWorld, count: number, loadMs: number, streamMs: number) {
        const engines = Array.from({ length: count }, (_, index) => ({
            id: `e-${index}`,
            version: 1,
            isLoading: false,
            isBusy: false,
        }));
        const clock = createVirtualClock(1);
        rollouts.set(this, { clock, loadMs, streamMs, engines, mostLoading: 0, endedMs: undefined });
    },
);

When("a target version is set", function(this: SiteWorld) {
    const rollout = rollouts.get(this)!;
    check(rollout);
    rollout.clock.runUntil(longestRunMs);
});

Then("all engines have it within {int} ms", function(this: SiteWorld, limitMs: number) {
    const { endedMs } = rollouts.get(this)!;
    assert.ok(endedMs !== undefined && endedMs <= limitMs, `after ${endedMs} ms`);
});

Then("never more than {int} of them serve nothing", function(this: SiteWorld, count: number) {
    assert.ok(rollouts.get(this)!.mostLoading <= count);
});
