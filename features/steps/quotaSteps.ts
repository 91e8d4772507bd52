/**
 * @module
 * Steps about single decisions of quotas.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { createCodec } from "../../platform/createCodec.js";
import { decodeConfiguration } from "../../platform/decodeConfiguration.js";
import { runSteps } from "../../src/core/effects/runSteps.js";
import { createRefusal, type Refusal } from "../../src/core/errors/createRefusal.js";
import { parsePeerState } from "../../src/core/fleet/peerState.js";
import type { PlaceResult } from "../../src/core/proxy/proxyEffects.js";
import type { Placement, ProxyRequest, SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import {
    type ChargedEffect,
    type ChargedEffectResults,
    type ChargeResult,
    serveChargedRequest,
} from "../../src/core/proxy/serveChargedRequest.js";
import { computeRequestCost } from "../../src/core/quotas/computeRequestCost.js";
import { createQuotaBucket, type QuotaBucket } from "../../src/core/quotas/createQuotaBucket.js";
import { createQuotaOwner, type QuotaOwner } from "../../src/core/quotas/createQuotaOwner.js";
import { findQuotaPool } from "../../src/core/quotas/findQuotaPool.js";
import type { CustomerQuota } from "../../src/core/quotas/quotaTypes.js";
import { configuration } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

const quota: CustomerQuota = { unit: "tokens", ratePerSecond: 18_000, burst: 18_000, plainTokens: 200 };
const bounds = { windowMs: 8_000, overshootRatio: 0.1, slack: 72_000 };
const pool = findQuotaPool("clinic", quota, bounds);

const buckets = new WeakMap<SiteWorld, QuotaBucket>();

const limit = { rate: 10, capacity: 100, debt: 0 };
const fullMs = 20_000;

Given("a bucket of 100 at 10 a second that is full", function(this: SiteWorld) {
    const bucket = createQuotaBucket(0);
    for (let atMs = 0; atMs <= fullMs; atMs += 100) {
        bucket.refill(limit, atMs);
    }
    buckets.set(this, bucket);
});

When(
    "{int} are taken and given back after {int} s with {int} taken meanwhile",
    function(this: SiteWorld, amount: number, afterSeconds: number, meanwhile: number) {
        const bucket = buckets.get(this)!;
        const takenMs = fullMs + 100;
        bucket.refill(limit, takenMs);
        const mark = bucket.take(amount);
        assert.ok(mark !== undefined);
        const endMs = takenMs + afterSeconds * 1_000;
        for (let atMs = takenMs + 100; atMs < endMs; atMs += 100) {
            bucket.refill(limit, atMs);
        }
        assert.ok(bucket.take(meanwhile) !== undefined);
        bucket.refill(limit, endMs);
        bucket.giveBack(amount, mark);
    },
);

Then("the bucket holds {int}", function(this: SiteWorld, level: number) {
    assert.ok(Math.abs(buckets.get(this)!.level() - level) <= limit.rate / 10, `${buckets.get(this)!.level()}`);
});

const copies = new WeakMap<SiteWorld, ReturnType<typeof parsePeerState>>();

When(
    "a configuration with a quota of {int} requests a second is copied from a peer",
    function(this: SiteWorld, rate: number) {
        const tenants = [{ name: "clinic", api_keys: ["key-clinic"], rate_per_s: rate }];
        const decoded = decodeConfiguration(Buffer.from(JSON.stringify({ ...configuration, tenants })));
        assert.ok(decoded.isOk);
        const state = { table: decoded.value.table, upstreamsAgeMs: 0, operatorAgeMs: 0, storeEra: 0, named: [] };
        copies.set(this, parsePeerState(JSON.stringify(state)));
    },
);

Then("its customer's quota is {int} requests a second", function(this: SiteWorld, rate: number) {
    const copied = copies.get(this)?.table?.customers[0]?.quota;
    assert.deepEqual({ unit: copied?.unit, rate: copied?.ratePerSecond }, { unit: "requests", rate });
});

const costs = new WeakMap<SiteWorld, { readonly cost: number; readonly isMalformed: boolean; }>();

When(/^a request states the token counts (.+)$/, function(this: SiteWorld, counts: string) {
    const stated = counts === "none" ? [] : counts.split(" and ").flatMap(text => ["Token-Count", text]);
    const headers = ["Host", "letters.example", "Attempt-Id", "request-1", ...stated];
    const head = createCodec().readRequest("POST", "/documents/1", headers);
    assert.ok(head.isOk);
    const { tokenCount, malformedTokenCount } = head.value;
    const limited: CustomerQuota = { unit: "tokens", ratePerSecond: 1_000, burst: 500, plainTokens: 200 };
    const cost = computeRequestCost(limited, tokenCount, bounds);
    costs.set(this, { cost, isMalformed: malformedTokenCount !== undefined });
});

Then(
    /^it counts as (\d+), and its count is reported as malformed: (yes|no)$/,
    function(this: SiteWorld, cost: string, isReported: string) {
        assert.deepEqual(costs.get(this), { cost: Number(cost), isMalformed: isReported === "yes" });
    },
);

interface ServedRequest {
    readonly charge: ChargeResult;
    readonly placed: PlaceResult;
    readonly outcome: SendOutcome;
}

interface ServedResult {
    givenBack: number;
    placements: number;
    refusal: Refusal | undefined;
}

const served = new WeakMap<SiteWorld, ServedResult>();

const placement = { upstream: { id: "engine-1" } } as unknown as Placement;

const req = {
    id: "request-1",
    service: "generation",
    route: { kind: "nonIdempotent", attempts: 1 },
    customer: { name: "clinic", keys: [], priority: undefined, isIsolated: false, quota },
} as unknown as ProxyRequest;

function serve(world: SiteWorld, given: Omit<ServedRequest, "charge"> & Partial<ServedRequest>): void {
    const result: ServedResult = { givenBack: 0, placements: 0, refusal: undefined };
    served.set(world, result);
    const giveBack = () => {
        result.givenBack += 1;
    };
    const steps = serveChargedRequest(req, {
        tryAcquireRetry: () => true,
        hasRetry: () => true,
        hasAlternative: () => true,
        onRetry: () => undefined,
    });
    runSteps<void, ChargedEffect, ChargedEffectResults>(
        steps,
        {
            charge: (_, resume) => resume(given.charge ?? { kind: "charged", giveBack }),
            place: (_, resume) => {
                result.placements += 1;
                resume(given.placed);
            },
            send: (_, resume) => resume(given.outcome),
            answer: (_, resume) => resume(undefined),
            refuse: ({ refusal }, resume) => {
                result.refusal = refusal;
                resume(undefined);
            },
            cut: (_, resume) => resume(undefined),
        },
        () => undefined,
        error => {
            throw error;
        },
    );
}

const placed: PlaceResult = { kind: "placed", placement };
const lost: SendOutcome = { kind: "lost", detail: "", delivered: undefined };

const outcomes: Readonly<Record<string, Omit<ServedRequest, "charge">>> = {
    "an answer": { placed, outcome: { kind: "answered", answer: { status: 200, headers: [], body: Buffer.alloc(0) } } },
    "a lost answer": { placed, outcome: lost },
    "rejections": { placed, outcome: { kind: "rejected", status: 503, reason: "busy", retryAfterMs: undefined } },
    "a refused placement": { placed: { kind: "refused", refusal: createRefusal("overloaded", "") }, outcome: lost },
    "a caller that has left": { placed: { kind: "callerGone" }, outcome: lost },
};

When(/^a request of a customer with a quota ends with (.+)$/, function(this: SiteWorld, name: string) {
    const outcome = outcomes[name];
    assert.ok(outcome !== undefined, name);
    serve(this, outcome);
});

Then("its charge was given back {int} times", function(this: SiteWorld, times: number) {
    assert.equal(served.get(this)!.givenBack, times);
});

When("a request of a customer with a quota is refused by the quota", function(this: SiteWorld) {
    const refusal = createRefusal("quotaSpent", "", { retryAfterMs: 1_500 });
    serve(this, { charge: { kind: "refused", refusal }, placed, outcome: lost });
});

Then(
    "its caller is told {string} with {int} ms to wait, and it was not placed",
    function(this: SiteWorld, kind: string, retryAfterMs: number) {
        const { refusal, placements } = served.get(this)!;
        assert.deepEqual({ kind: refusal?.kind, retryAfterMs: refusal?.retryAfterMs, placements }, {
            kind,
            retryAfterMs,
            placements: 0,
        });
    },
);

interface OwnerFixture {
    readonly owner: QuotaOwner;
    readonly clock: ReturnType<typeof createVirtualClock>;
    /** Lets an instance pledge its whole share, on the owner's receipt. */
    readonly pledge: (from: string, receipt: { readonly epoch: number; readonly atMs: number; }, size?: number) => void;
    readonly receipt: { readonly epoch: number; readonly atMs: number; };
    readonly state: { mayOwn: boolean; };
}

const owners = new WeakMap<SiteWorld, OwnerFixture>();

Given("an owner to which 3 of 4 instances have pledged", function(this: SiteWorld) {
    const clock = createVirtualClock(1);
    const state = { mayOwn: true };
    const owner = createQuotaOwner({
        self: "entry-1",
        now: clock.now,
        random: clock.random,
        bounds,
        quotas: () => new Map([["clinic", quota]]),
        countInstances: () => 4,
        mayOwn: () => state.mayOwn,
        isCurrent: () => true,
    });
    const weights: [number, number][] = [[pool, 1]];
    const receipt = owner.receivePledge("entry-2", { kind: "pledge", weights });
    const fixture: OwnerFixture = {
        owner,
        clock,
        receipt,
        state,
        pledge: (from, { epoch, atMs }, size) => {
            owner.receivePledge(from, { kind: "pledge", weights, epoch, echoMs: atMs, size });
        },
    };
    owners.set(this, fixture);
    ["entry-2", "entry-3", "entry-4"].forEach(from => fixture.pledge(from, receipt));
});

const events: ReadonlyMap<string, (fixture: OwnerFixture) => void> = new Map<string, (fixture: OwnerFixture) => void>([
    ["nothing happens", () => undefined],
    ["4 s pass without pledges", ({ clock }) => clock.runUntil(4_000)],
    ["a pledge arrives that answers a receipt of 4 s ago", ({ clock, pledge, receipt }) => {
        clock.runUntil(4_000);
        pledge("entry-2", receipt);
    }],
    ["the owner forgets everything after a pause", ({ owner, pledge, receipt }) => {
        owner.clear();
        pledge("entry-2", receipt);
    }],
    ["a pledger states that 6 instances may run", ({ pledge, receipt }) => pledge("entry-2", receipt, 6)],
    ["the owner leaves", ({ state }) => {
        state.mayOwn = false;
    }],
]);

When(
    /^(nothing happens|4 s pass .+|a pledge arrives .+|the owner forgets .+|the owner leaves|a pledger states .+)$/,
    function(this: SiteWorld, name: string) {
        const fixture = owners.get(this)!;
        events.get(name)!(fixture);
        fixture.owner.update();
    },
);

Then("the owner grants a share of {float}", function(this: SiteWorld, share: number) {
    const shares = owners.get(this)!.owner.describeShares();
    assert.equal(shares.find(one => one.pool === pool)?.share ?? 0, share);
});

Then("the owner keeps {int} buckets", function(this: SiteWorld, count: number) {
    assert.equal(owners.get(this)!.owner.countBuckets(), count);
});

When("a grant of {int} is returned to it twice", function(this: SiteWorld, cost: number) {
    const { owner, clock } = owners.get(this)!;
    const ask = () => owner.grant([{ id: 1, customer: "clinic", cost }]);
    for (let step = 0; step < 40; step += 1) {
        clock.runUntil(clock.now() + 90);
        owner.update();
    }
    const { epoch, items: [granted] } = ask();
    assert.equal(granted?.state, "granted");
    ask();
    const returned = { customer: "clinic", cost, mark: granted.mark!, id: 5 };
    owner.takeBack(epoch, [returned]);
    owner.takeBack(epoch, [returned]);
});

Then("it grants {int} once more", function(this: SiteWorld, cost: number) {
    const { owner } = owners.get(this)!;
    const grant = () => owner.grant([{ id: 2, customer: "clinic", cost }]).items[0]?.state;
    assert.deepEqual([grant(), grant()].map(state => state === "granted"), [true, false]);
});
