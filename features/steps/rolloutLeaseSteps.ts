/**
 * @module
 * Steps that check the rollout lease and the loading of weights on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import {
    createRolloutLease,
    leaseValidMs,
    orderArrivalMs,
    type RolloutLease,
} from "../../src/core/weights/createRolloutLease.js";
import { createWeightsView, type WeightsView } from "../../src/core/weights/createWeightsView.js";
import { type LoadEffect, type LoadEnd, loadWeights, type OrderAnswer } from "../../src/core/weights/loadWeights.js";
import { planLoads } from "../../src/core/weights/planLoads.js";
import type { SiteWorld } from "../support/siteWorld.js";

const separationMs = 3_000;

/** Period in which an order may arrive: from when it is sent until the arrival limit. */
interface SeenOrder {
    readonly holder: string;
    readonly fence: number;
    readonly firstMs: number;
    readonly lastMs: number;
}

interface InjectedFaults {
    readonly separationMs: number;
    /** Whether an instance keeps using its lease after a pause. */
    readonly ignoresPauses: boolean;
}

type Turn = readonly [
    instance: number,
    action: "act" | "pause" | "partition" | "heal" | "loseAnswer",
    durationMs: number,
];

const turnArbitrary: fc.Arbitrary<Turn> = fc.tuple(
    fc.integer({ min: 0, max: 2 }),
    fc.constantFrom("act", "act", "act", "act", "pause", "partition", "heal", "loseAnswer"),
    fc.integer({ min: 5, max: 400 }),
);

interface Instance {
    readonly name: string;
    readonly lease: RolloutLease;
    /** Time that the instance's own clock does not count, in milliseconds. */
    pausedMs: number;
    isPartitioned: boolean;
}

/** Simulates instances on one topic: each claims the lease when it is free and sends orders while it holds it. */
function playHistory(turns: readonly Turn[], faults: InjectedFaults): readonly SeenOrder[] {
    const topic: string[] = [];
    const orders: SeenOrder[] = [];
    let trueMs = 0;
    const instances = ["a", "b", "c"].map((name): Instance => ({
        name,
        lease: createRolloutLease({ instance: name, separationMs: faults.separationMs }),
        pausedMs: 0,
        isPartitioned: false,
    }));
    const clockOf = (instance: Instance) => trueMs - instance.pausedMs;

    function readTopic(instance: Instance): void {
        topic.forEach((holder, offset) => {
            instance.lease.recordClaim({ instance: holder, offset }, clockOf(instance));
        });
    }

    function claim(instance: Instance, isAnswerLost: boolean): void {
        const sentMs = clockOf(instance);
        if (instance.lease.end() !== topic.length) {
            return;
        }
        topic.push(instance.name);
        if (!isAnswerLost) {
            instance.lease.recordOwnClaim(topic.length - 1, sentMs);
        }
    }

    function act(instance: Instance, isAnswerLost: boolean): void {
        if (!instance.isPartitioned) {
            readTopic(instance);
            if (instance.lease.fence(clockOf(instance)) === undefined && instance.lease.isFree(clockOf(instance))) {
                claim(instance, isAnswerLost);
            }
        }
        const fence = instance.lease.fence(clockOf(instance));
        if (fence !== undefined) {
            orders.push({ holder: instance.name, fence, firstMs: trueMs, lastMs: trueMs + orderArrivalMs });
        }
    }

    for (const [index, action, turnMs] of turns) {
        const instance = instances[index]!;
        // A pause may outlast the time after which another instance takes over.
        const durationMs = action === "pause" ? turnMs * 20 : turnMs;
        if (action === "pause") {
            // The steady clock does not count a suspension; the wall clock reveals it at the next check.
            instance.pausedMs += durationMs;
            if (!faults.ignoresPauses) {
                instance.lease.relinquish();
            }
        }
        instance.isPartitioned = action === "partition" || (instance.isPartitioned && action !== "heal");
        trueMs += durationMs;
        if (action !== "pause") {
            act(instance, action === "loseAnswer");
        }
    }
    return orders;
}

function findClose(orders: readonly SeenOrder[]): SeenOrder | undefined {
    return orders.find((order, index) => {
        const before = orders[index - 1];
        return before !== undefined && before.holder !== order.holder
            && order.firstMs - before.lastMs < separationMs;
    });
}

function findSharedFence(orders: readonly SeenOrder[]): SeenOrder | undefined {
    const holders = new Map<number, string>();
    return orders.find(order => {
        const holder = holders.get(order.fence) ?? order.holder;
        holders.set(order.fence, holder);
        return holder !== order.holder;
    });
}

function checkHistories(numRuns: number, seed: number, faults: InjectedFaults): boolean {
    const property = fc.property(fc.array(turnArbitrary, { minLength: 30, maxLength: 120 }), turns => {
        const orders = playHistory(turns, faults);
        return findClose(orders) === undefined && findSharedFence(orders) === undefined;
    });
    return !fc.check(property, { numRuns, seed }).failed;
}

const noFaults: InjectedFaults = { separationMs, ignoresPauses: false };

Then(
    "over {int} random histories with seed {int} orders of two holders are at least {int} ms apart",
    function(numRuns: number, seed: number, apartMs: number) {
        assert.equal(apartMs, separationMs);
        assert.ok(checkHistories(numRuns, seed, noFaults));
    },
);

Then("every fencing number was used by one holder", function() {
    const turns = fc.sample(fc.array(turnArbitrary, { minLength: 300, maxLength: 300 }), { numRuns: 20, seed: 9 });
    turns.forEach(history => assert.equal(findSharedFence(playHistory(history, noFaults)), undefined));
});

Then("the same check detects a lease without separation", function() {
    assert.ok(!checkHistories(300, 7, { ...noFaults, separationMs: -leaseValidMs }));
});

Then("the same check detects a lease that stays valid across a pause of its holder", function() {
    assert.ok(!checkHistories(300, 7, { ...noFaults, ignoresPauses: true }));
});

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

function createEngines(count: number, loadingCount: number) {
    return Array.from({ length: count }, (_, index) => ({
        id: `e-${index}`,
        isOutdated: true,
        version: index < 3 ? 1 : 2,
        isLoading: index >= count - loadingCount,
        requests: count - index,
    }));
}

Then("of {int} engines the {int} with the oldest weights receive orders", function(count: number, ordered: number) {
    const expected = ["e-0", "e-1", "e-2"].slice(0, ordered);
    assert.deepEqual(planLoads(createEngines(count, 0)).toSorted(), expected);
});

Then("no engine receives an order while {int} are loading", function(loadingCount: number) {
    assert.deepEqual(planLoads(createEngines(13, loadingCount)), []);
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
