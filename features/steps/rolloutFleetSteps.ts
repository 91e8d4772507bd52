/**
 * @module
 * Steps in which the holder of the order lease is killed at each of many moments of a rollout.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { playRolloutFleet, type RolloutPlan, type RolloutPlay } from "../support/playRolloutFleet.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface Played {
    readonly plan: RolloutPlan;
    readonly play: RolloutPlay;
}

interface FleetFixture {
    readonly base: Pick<RolloutPlan, "seed" | "instances" | "engines" | "loadMs">;
    plays: readonly Played[];
}

const fixtures = new WeakMap<SiteWorld, FleetFixture>();

/** The second version is named while the first one is in place, the third soon after it. */
const namedMs: readonly number[] = [5_500, 11_000, 14_000];
const endMs = 25_200;

/** Versions that are in place before the next one is named. */
const separateNamedMs: readonly number[] = [5_500, 12_000, 18_500];

/** Times of kills, counted from the naming of the second version. */
const firstKillMs = -1_500;
const lastKillMs = 8_000;

function getFixture(world: SiteWorld): FleetFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

async function play(plans: readonly RolloutPlan[]): Promise<readonly Played[]> {
    const plays = await Promise.all(plans.map(playRolloutFleet));
    return plans.map((plan, index) => ({ plan, play: plays[index]! }));
}

function createKillPlans(
    { base }: FleetFixture,
    intervalMs: number,
    successorKillsMs: readonly number[],
): readonly RolloutPlan[] {
    const count = (lastKillMs - firstKillMs) / intervalMs;
    const killsMs = Array.from({ length: count }, (_, index) => namedMs[1]! + firstKillMs + index * intervalMs);
    return [true, false].flatMap(restarts =>
        killsMs.map(killMs => ({ ...base, namedMs, killMs, successorKillsMs, restarts, endMs }))
    );
}

/** Versions that more than one engine, and more than a tenth of them, did not have in time. */
function describeLate({ plan, play: { loadedMs } }: Played, limitMs: number): readonly string[] {
    return loadedMs.flatMap((times, index) => {
        const late = times.filter(ms => ms > plan.namedMs[index]! + limitMs);
        const isLate = late.length > 1 && late.length > times.length / 10;
        const lastMs = Math.max(...times) - plan.namedMs[index]!;
        const killedMs = (plan.killMs ?? 0) - namedMs[1]!;
        return isLate
            ? [`kill at ${killedMs} ms, restarts ${plan.restarts}: ${late.length} late, version ${
                index + 2
            } at ${lastMs}`]
            : [];
    });
}

Given(
    "{int} instances and {int} engines that load weights in {int} ms, seed {int}",
    function(this: SiteWorld, instances: number, engines: number, loadMs: number, seed: number) {
        fixtures.set(this, { base: { seed, instances, engines, loadMs }, plays: [] });
    },
);

When("versions are named and no instance is killed", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    fixture.plays = await play([{
        ...fixture.base,
        namedMs: separateNamedMs,
        successorKillsMs: [],
        restarts: false,
        endMs,
    }]);
});

When(
    "versions are named while the store turns the first {int} instances away for {int} ms",
    async function(this: SiteWorld, count: number, durationMs: number) {
        const fixture = getFixture(this);
        const fromMs = namedMs[1]!;
        fixture.plays = await play([{
            ...fixture.base,
            namedMs,
            successorKillsMs: [],
            restarts: false,
            turnedAway: {
                names: Array.from({ length: count }, (_, index) => `entry-${index}`),
                fromMs,
                untilMs: fromMs + durationMs,
            },
            endMs,
        }]);
    },
);

Then("it turned away at most {int} calls", function(this: SiteWorld, maxCalls: number) {
    for (const { play: { refusedCalls } } of getFixture(this).plays) {
        assert.ok(refusedCalls <= maxCalls, `${refusedCalls} calls`);
    }
});

When("the holder is killed once, each {int} ms of a rollout", async function(this: SiteWorld, intervalMs: number) {
    const fixture = getFixture(this);
    fixture.plays = await play(createKillPlans(fixture, intervalMs, []));
});

When(
    "the holder is killed each {int} ms of a rollout, and its successor {int} ms after its claim",
    async function(this: SiteWorld, intervalMs: number, delayMs: number) {
        const fixture = getFixture(this);
        fixture.plays = await play(createKillPlans(fixture, intervalMs, [delayMs]));
    },
);

Then("in each play the engines have each version within {int} ms", function(this: SiteWorld, limitMs: number) {
    const late = getFixture(this).plays.flatMap(played => describeLate(played, limitMs));
    assert.deepEqual(late, []);
});

Then(
    "in each play orders of two holders are {int} ms apart and fences rise",
    function(this: SiteWorld, apartMs: number) {
        for (const { plan, play: { orders } } of getFixture(this).plays) {
            orders.slice(1).forEach((order, index) => {
                const before = orders[index]!;
                const message = `kill at ${plan.killMs}: ${JSON.stringify([before, order])}`;
                assert.ok(order.fence >= before.fence, message);
                assert.ok(order.holder === before.holder || order.receivedMs - before.receivedMs >= apartMs, message);
            });
        }
    },
);

Then(
    "each engine has received one order a version, and the store at most {int} calls",
    function(this: SiteWorld, maxCalls: number) {
        for (const { plan, play: { orders, storeCalls } } of getFixture(this).plays) {
            assert.equal(orders.length, plan.engines * plan.namedMs.length);
            assert.ok(storeCalls <= maxCalls, `${storeCalls} calls`);
        }
    },
);
