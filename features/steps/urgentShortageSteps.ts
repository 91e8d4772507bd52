/**
 * @module
 * Steps on which waiting requests are tried, and on what is left to urgent ones.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createProxyRequest, createRoute } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createFairQueue, type FairQueue, type QueuedRequest } from "../../src/core/limits/createFairQueue.js";
import { createUrgentReserves, type UrgentReserves } from "../../src/core/placement/createUrgentReserves.js";
import { createWaitQueue, type WaitQueue } from "../../src/core/placement/createWaitQueue.js";
import type { PlacementCandidate } from "../../src/core/placement/placementTypes.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { playUrgentShortage, type UrgentShortage } from "../support/urgentShortage.js";

const shortages = new WeakMap<SiteWorld, UrgentShortage>();

When(
    "urgent requests nearly fill the upstreams while {int} patient ones wait",
    function(this: SiteWorld, count: number) {
        shortages.set(this, playUrgentShortage(count));
    },
);

Then("no urgent request waits beside an idle slot, and none is refused", function(this: SiteWorld) {
    const { idle, refused, sampled } = shortages.get(this)!;
    assert.ok(sampled > 0);
    assert.deepEqual({ idle, refused }, { idle: 0, refused: 0 });
});

interface ReserveFixture {
    readonly clock: VirtualClock;
    readonly reserves: UrgentReserves;
}

const fixtures = new WeakMap<SiteWorld, ReserveFixture>();

function createRequest({ clock }: ReserveFixture, priority: number, targetLatencyMs: number) {
    const times = { arrivedMs: clock.now(), deadlineMs: clock.now() + 20_000 };
    return {
        ...createProxyRequest("idempotent", { priority, ...times }),
        service: "plain",
        route: createRoute({ targetLatencyMs, priority, timeoutMs: 20_000 }),
    };
}

Given("urgent requests arrive of which one is about to come to an upstream", function(this: SiteWorld) {
    const clock = createVirtualClock(1);
    const reserves = createUrgentReserves({ now: clock.now, countInstances: () => 1 });
    const fixture = { clock, reserves };
    for (let index = 0; index < 200; index += 1) {
        const req = createRequest(fixture, 0, 300);
        reserves.recordArrival(req);
        reserves.begin(req);
        clock.runUntil(clock.now() + 100);
        reserves.end(req);
    }
    fixtures.set(this, fixture);
});

Given(
    "an upstream that took urgent requests until {int} s ago and {int} patient ones since",
    function(this: SiteWorld, seconds: number, count: number) {
        const clock = createVirtualClock(1);
        const reserves = createUrgentReserves({ now: clock.now, countInstances: () => 8 });
        const fixture = { clock, reserves };
        const urgent = createRequest(fixture, 0, 300);
        reserves.recordArrival(urgent);
        reserves.begin(urgent);
        clock.runUntil(50);
        reserves.end(urgent);
        clock.runUntil(seconds * 1_000);
        for (let index = 0; index < count; index += 1) {
            reserves.begin(createRequest(fixture, 5, 8_000));
        }
        fixtures.set(this, fixture);
    },
);

const queues = new WeakMap<SiteWorld, WaitQueue>();
const waitTimes = { latencyDeadlineMs: 10_000, disconnectMs: 20_000 };

Given(
    "{int} requests of {string} that fit nowhere wait before one of {string}",
    function(this: SiteWorld, count: number, customer: string, other: string) {
        const queue = createWaitQueue();
        for (let index = 0; index < count; index += 1) {
            const waiting = { id: `r-${index}`, customer, priority: 0, size: 9_000, ...waitTimes };
            queue.enqueue({ ...waiting, tryPlace: () => false }, 0);
        }
        const waiting = { id: "r-other", customer: other, priority: 0, size: 10, ...waitTimes };
        queue.enqueue({ ...waiting, tryPlace: () => true }, 1);
        queues.set(this, queue);
    },
);

Then("the one that fits is placed by the next dispatch", function(this: SiteWorld) {
    const queue = queues.get(this)!;
    const before = queue.size();
    queue.dispatch(100);
    assert.equal(queue.size(), before - 1);
});

function describeUpstream(changes: Partial<PlacementCandidate>): PlacementCandidate {
    return {
        id: "u-1",
        use: { requests: 0, memoryTokens: 0, unreadTokens: 0 },
        unreported: { memoryTokens: 0, unreadTokens: 0 },
        slots: 8,
        memoryTokens: undefined,
        prefillTokens: 0,
        repeatedTokens: 0,
        neededTokens: 0,
        isOutdated: false,
        isSameFailureDomain: true,
        ...changes,
    };
}

function describeLoad(requests: number) {
    const stated = {
        deviation: 0,
        waiting: 0,
        slots: 8,
        pace: 1,
        isPaceStated: true,
        queueLimit: undefined,
        ageMs: 10,
    };
    return { estimate: { ...stated, requests }, requests, waitingTokens: 0 };
}

function countTaken(fixture: ReserveFixture, candidate: PlacementCandidate): number {
    return fixture.reserves.filter(createRequest(fixture, 5, 8_000), [candidate]).length;
}

Then(
    "a patient request may take an upstream that states {int} requests on 8 slots: {string}",
    function(this: SiteWorld, requests: number, answer: string) {
        const fixture = fixtures.get(this)!;
        for (const memoryTokens of [undefined, 1_000_000]) {
            assert.equal(
                countTaken(fixture, describeUpstream({ memoryTokens, load: describeLoad(requests) })),
                answer === "yes" ? 1 : 0,
            );
        }
    },
);

Then(
    "a patient request may take an upstream with {int} of 8 slots in use: {string}",
    function(this: SiteWorld, requests: number, answer: string) {
        const candidate = describeUpstream({ use: { requests, memoryTokens: 0, unreadTokens: 0 }, load: undefined });
        assert.equal(countTaken(fixtures.get(this)!, candidate), answer === "yes" ? 1 : 0);
    },
);

const fairQueues = new WeakMap<SiteWorld, FairQueue<QueuedRequest>>();
const placedNext = new WeakMap<SiteWorld, readonly string[]>();

function dispatchSome(
    queue: FairQueue<QueuedRequest>,
    count: number,
    fits: (customer: string) => boolean,
): readonly string[] {
    const placed: string[] = [];
    for (let index = 0; index < count; index += 1) {
        const before = placed.length;
        queue.dispatch(({ customer }) => fits(customer) && placed.push(customer) > 0, () => placed.length === before);
    }
    return placed;
}

Given(
    "requests of {string} fit nowhere while {int} of {string} are placed",
    function(this: SiteWorld, customer: string, count: number, other: string) {
        const queue = createFairQueue({ keepsTurn: true });
        for (let index = 0; index < 2 * count; index += 1) {
            const common = { tokens: 10, recomputeTokens: 0, weight: 1 };
            queue.enqueue({ ...common, requestId: `a-${index}`, customer });
            queue.enqueue({ ...common, requestId: `b-${index}`, customer: other });
        }
        assert.equal(dispatchSome(queue, count, one => one === other).length, count);
        fairQueues.set(this, queue);
    },
);

When("all of them fit", function(this: SiteWorld) {
    placedNext.set(this, dispatchSome(fairQueues.get(this)!, 10, () => true));
});

Then(
    "of the next 10 placed at least {int} are of {string}",
    function(this: SiteWorld, count: number, customer: string) {
        assert.ok(placedNext.get(this)!.filter(one => one === customer).length >= count);
    },
);
