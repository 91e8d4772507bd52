/**
 * @module
 * Steps that check the rollout lease and the loading of weights on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createRolloutLease, leaseValidMs } from "../../src/core/weights/createRolloutLease.js";
import { createWeightsView, type WeightsView } from "../../src/core/weights/createWeightsView.js";
import { type LoadEffect, type LoadEnd, loadWeights, type OrderAnswer } from "../../src/core/weights/loadWeights.js";
import { planLoads } from "../../src/core/weights/planLoads.js";
import {
    createTurnArbitrary,
    findClose,
    findFallingFence,
    findSharedFence,
    type InjectedFaults,
    playLeaseHistory,
    type Turn,
} from "../support/leaseHistories.js";
import type { SiteWorld } from "../support/siteWorld.js";

const separationMs = 3_000;

/** Turns of a history for each instance. */
const minTurns = 10;
const maxTurns = 40;

function checkHistories(
    numRuns: number,
    seed: number,
    hasReturns: boolean,
    faults: InjectedFaults,
    instances = 3,
): boolean {
    const turns = fc.array(createTurnArbitrary(hasReturns, instances), {
        minLength: minTurns * instances,
        maxLength: maxTurns * instances,
    });
    const property = fc.property(turns, history => {
        const orders = playLeaseHistory(history, faults, instances);
        return findClose(orders, separationMs) === undefined && findSharedFence(orders) === undefined
            && findFallingFence(orders) === undefined;
    });
    return !fc.check(property, { numRuns, seed, endOnFailure: true }).failed;
}

const noFaults: InjectedFaults = {
    separationMs,
    ignoresPauses: false,
    ignoresReturns: false,
    trustsOldClaims: false,
    tellsUncertain: false,
    backdatesReleases: false,
};

Then(
    "over {int} random histories with seed {int} orders of two holders are at least {int} ms apart",
    function(numRuns: number, seed: number, apartMs: number) {
        assert.equal(apartMs, separationMs);
        assert.ok(checkHistories(numRuns, seed, false, noFaults));
    },
);

Then("every fencing number was used by one holder", function() {
    const turns = fc.array(createTurnArbitrary(false), { minLength: 300, maxLength: 300 });
    fc.sample(turns, { numRuns: 20, seed: 9 })
        .forEach(history => assert.equal(findSharedFence(playLeaseHistory(history, noFaults)), undefined));
});

Then("the same check detects a lease without separation", function() {
    assert.ok(!checkHistories(300, 7, false, { ...noFaults, separationMs: -leaseValidMs }));
});

Then("the same check detects a lease that stays valid across a pause of its holder", function() {
    assert.ok(!checkHistories(300, 7, false, { ...noFaults, ignoresPauses: true }));
});

Then(
    "over {int} random histories with seed {int} and returns of the store, no two holders' orders are too close",
    function(numRuns: number, seed: number) {
        assert.ok(checkHistories(numRuns, seed, true, noFaults));
    },
);

Then(
    "over {int} random histories of {int} instances with seed {int} no two holders' orders are too close",
    function(numRuns: number, instances: number, seed: number) {
        assert.ok(checkHistories(numRuns, seed, true, noFaults, instances));
    },
);

Then(
    "with {int} instances the same check detects a lease that stays valid across a pause of its holder",
    function(instances: number) {
        assert.ok(!checkHistories(300, 7, true, { ...noFaults, ignoresPauses: true }, instances));
    },
);

Then("the same check detects a lease that does not see returns", function() {
    assert.ok(!checkHistories(2_000, 7, true, { ...noFaults, ignoresReturns: true }));
});

Then("the same check detects a lease that trusts claims from before a return", function() {
    assert.ok(!checkHistories(2_000, 7, true, { ...noFaults, trustsOldClaims: true }));
});

Then("the same check detects an instance that tells peers of claims which may be missing", function() {
    assert.ok(!checkHistories(2_000, 7, true, { ...noFaults, tellsUncertain: true }));
});

Then("the same check detects an instance that reports the end of its orders too early", function() {
    assert.ok(!checkHistories(2_000, 7, true, { ...noFaults, backdatesReleases: true }));
});

Then(
    "another instance may claim {int} ms after a holder has ended its orders, and {int} ms after the claim of one that has not",
    function(afterReleaseMs: number, afterClaimMs: number) {
        const [holder, other] = ["a", "b"].map(instance => createRolloutLease({ instance, separationMs }));
        [holder!, other!].forEach(lease => lease.recordEra(1, 0));
        const claimedMs = 60_000;
        const endedMs = claimedMs + 100;
        holder!.recordOwnClaim({ era: 1, offset: 0 }, claimedMs);
        other!.recordClaim({ instance: "a", era: 1, offset: 0 }, claimedMs);
        assert.equal(other!.freeInMs(endedMs), afterClaimMs - 100);
        holder!.release(endedMs);
        assert.equal(holder!.fence(endedMs), undefined);
        other!.recordRelease(holder!.describeRelease(endedMs)!, endedMs);
        assert.equal(other!.freeInMs(endedMs), afterReleaseMs);
    },
);

Then("an instance that starts beside one that knows the topic holds the lease at once", function() {
    const [old, fresh] = ["a", "b"].map(instance => createRolloutLease({ instance, separationMs }));
    old!.recordEra(1, 0);
    const nowMs = 60_000;
    fresh!.recordEra(1, nowMs);
    assert.equal(fresh!.isFree(nowMs + 1_000), false);
    fresh!.recordKnowledge(old!.describeKnowledge(nowMs)!, nowMs + 1_000);
    assert.equal(fresh!.isFree(nowMs + 1_000), true);
});

/** Time between the turns of a calm phase, in milliseconds. */
const calmTurnMs = 50;

Then(
    "after each of {int} such histories with seed {int} the lease is held again within {int} ms",
    function(numRuns: number, seed: number, boundMs: number) {
        const turns = fc.array(createTurnArbitrary(true), { minLength: 30, maxLength: 120 });
        const heals: readonly Turn[] = [0, 1, 2].map(instance => [instance, "heal", calmTurnMs]);
        const calm = Array.from({ length: boundMs / calmTurnMs }, (_, index): Turn => [index % 3, "act", calmTurnMs]);
        fc.assert(
            fc.property(turns, history => {
                const before = playLeaseHistory([...history, ...heals], noFaults).length;
                const after = playLeaseHistory([...history, ...heals, ...calm], noFaults).length;
                assert.ok(after > before);
            }),
            { numRuns, seed },
        );
    },
);

interface LoadRun {
    readonly end: LoadEnd;
    readonly orders: number;
}

const loads = new WeakMap<SiteWorld, LoadRun>();

interface EngineScript {
    readonly version?: number;
    readonly isReachable?: boolean;
    readonly busyPolls?: number;
    readonly answers: readonly OrderAnswer[];
    /** Number of the order that takes effect, counted from 1. */
    readonly effectiveOrder?: number;
}

const scripts: Readonly<Record<string, EngineScript>> = {
    "takes the order": { answers: ["accepted"], effectiveOrder: 1 },
    "has the version": { version: 3, answers: [] },
    "is busy with another order first": { busyPolls: 3, answers: ["accepted"], effectiveOrder: 1 },
    "loses the order": { answers: ["unanswered", "accepted"], effectiveOrder: 2 },
    "carries the unanswered order out late": { answers: ["unanswered", "conflict"], effectiveOrder: 2 },
    "does not answer": { isReachable: false, answers: [] },
    "has seen a higher fence": { answers: ["fenced"] },
    "says that the order holds, though it does not": { answers: ["alreadyHolds", "accepted"], effectiveOrder: 2 },
};

function playLoad(script: EngineScript): LoadRun {
    const steps = loadWeights(3);
    let orders = 0;
    let polls = 0;
    let version = script.version ?? 2;
    let turn = steps.next();
    while (turn.done !== true) {
        const effect: LoadEffect = turn.value;
        if (effect.kind === "readState") {
            polls += 1;
            const isBusy = polls <= (script.busyPolls ?? 0);
            const state = { version, isBusy, acceptedOrders: 0 };
            turn = steps.next(script.isReachable === false ? undefined : state);
        }
        else if (effect.kind === "order") {
            orders += 1;
            if (orders === script.effectiveOrder) {
                version = 3;
            }
            turn = steps.next(script.answers[orders - 1] ?? "rejected");
        }
        else {
            turn = steps.next(undefined);
        }
    }
    return { end: turn.value, orders };
}

When("version 3 is loaded at an engine that {}", function(this: SiteWorld, behaviour: string) {
    const script = scripts[behaviour];
    assert.ok(script !== undefined, behaviour);
    loads.set(this, playLoad(script));
});

Then("the load ends as {string} after {int} orders", function(this: SiteWorld, end: string, orders: number) {
    assert.deepEqual(loads.get(this), { end, orders });
});

/** Time in which a fifth of the engines at a time can load. */
const usableMs = 6_000;
const dueInMs = 8_400;
const loadPlanOptions = { loadMs: 800 };

function createEngines(count: number, loadingCount: number) {
    return Array.from({ length: count }, (_, index) => ({
        id: `e-${index}`,
        isOutdated: true,
        version: index < 3 ? 1 : 2,
        isLoading: index >= count - loadingCount,
        requests: count - index,
        usableMs,
        dueInMs,
    }));
}

Then("of {int} engines the {int} with the oldest weights receive orders", function(count: number, ordered: number) {
    const expected = ["e-0", "e-1", "e-2"].slice(0, ordered);
    assert.deepEqual(planLoads(createEngines(count, 0), loadPlanOptions).toSorted(), expected);
});

Then("no engine receives an order while {int} are loading", function(loadingCount: number) {
    assert.deepEqual(planLoads(createEngines(13, loadingCount), loadPlanOptions), []);
});

const views = new WeakMap<SiteWorld, WeightsView>();

Given(
    "target versions set at {int} ms, {int} ms and {int} ms",
    function(this: SiteWorld, first: number, second: number, third: number) {
        const view = createWeightsView();
        [first, second, third].forEach((sinceMs, index) => {
            view.recordTarget({ model: "easy-read", version: index + 2, sinceMs, isObserved: index > 0 });
        });
        views.set(this, view);
    },
);

function recordSeries(view: WeightsView, count: number, intervalMs: number, firstMs: number): void {
    const newest = view.findTarget("easy-read")?.version ?? 1;
    for (let index = 0; index < count; index += 1) {
        const sinceMs = firstMs + index * intervalMs;
        view.recordTarget({ model: "easy-read", version: newest + 1 + index, sinceMs, isObserved: true });
    }
}

Given(
    "{int} target versions set at intervals of {int} ms from {int} ms on",
    function(this: SiteWorld, count: number, intervalMs: number, firstMs: number) {
        const view = createWeightsView();
        recordSeries(view, count, intervalMs, firstMs);
        views.set(this, view);
    },
);

When(
    "{int} target versions are set at intervals of {int} ms from {int} ms on",
    function(this: SiteWorld, count: number, intervalMs: number, firstMs: number) {
        recordSeries(views.get(this)!, count, intervalMs, firstMs);
    },
);

Then("{int} target versions are kept", function(this: SiteWorld, count: number) {
    assert.equal(views.get(this)?.listHistory().length, count);
});

When(
    "a peer reports that version {int} was set at {int} ms",
    function(this: SiteWorld, version: number, sinceMs: number) {
        views.get(this)?.recordTarget({ model: "easy-read", version, sinceMs, isObserved: true });
    },
);

Then("version {int} is outdated since {int} ms", function(this: SiteWorld, version: number, sinceMs: number) {
    assert.equal(views.get(this)?.outdatedSinceMs("easy-read", version), sinceMs);
});

Then("the newest is not outdated", function(this: SiteWorld) {
    assert.equal(views.get(this)?.outdatedSinceMs("easy-read", 4), undefined);
});

Then("an age that a peer observed replaces an assumed one", function(this: SiteWorld) {
    const view = views.get(this);
    assert.equal(view?.recordTarget({ model: "easy-read", version: 2, sinceMs: 400, isObserved: true }), false);
    assert.equal(view?.outdatedSinceMs("easy-read", 1), 400);
});
