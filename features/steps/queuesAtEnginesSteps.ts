/**
 * @module
 * Steps on queues at engines: what instances know of them, and what that does to callers.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createPlainPlacement, createProxyRequest, createRecord } from "../../bench/support/proxyFixtures.js";
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
