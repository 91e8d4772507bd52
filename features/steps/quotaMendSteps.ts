/**
 * @module
 * Steps about owners and candidates of quotas.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { createRefusal } from "../../src/core/errors/createRefusal.js";
import type { FleetInstance } from "../../src/core/fleet/heartbeat.js";
import type { EndReport } from "../../src/core/proxy/createEndReport.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import { listQuotaCandidates } from "../../src/core/quotas/listQuotaCandidates.js";
import { quotaMessageSchema } from "../../src/core/quotas/quotaMessage.js";
import type { CallerExchange } from "../../src/io/proxy/createCallerExchange.js";
import {
    type ChargeQuota,
    createRequestRunner,
    type RequestRunnerDependencies,
} from "../../src/io/proxy/createRequestRunner.js";
import type { SiteWorld } from "../support/siteWorld.js";

const candidates = new WeakMap<SiteWorld, readonly string[]>();

When(/^the instances of the fleet are (.+)$/, function(this: SiteWorld, states: string) {
    const instances = states.split(", ").map((state, index) => ({
        name: `entry-${index + 1}`,
        state: state as FleetInstance["state"],
    }));
    candidates.set(this, listQuotaCandidates(instances));
});

Then(/^quotas may be owned by (.+)$/, function(this: SiteWorld, names: string) {
    assert.deepEqual(candidates.get(this), names === "none" ? [] : names.split(", "));
});

const isRead = new WeakMap<SiteWorld, boolean>();

When("an ask names a customer of {int} characters", function(this: SiteWorld, length: number) {
    const item = { id: 1, customer: "a".repeat(length), cost: 1 };
    isRead.set(this, quotaMessageSchema.safeParse({ quota: { kind: "ask", items: [item] } }).success);
});

Then("its owner reads the ask", function(this: SiteWorld) {
    assert.ok(isRead.get(this));
});

const recorded = new WeakMap<SiteWorld, number>();

When(
    /^a request is (refused by its quota|charged, and refused for want of an upstream)$/,
    function(this: SiteWorld, end: string) {
        const refusal = createRefusal("overloaded", "");
        const giveBack = () => undefined;
        const chargeQuota: ChargeQuota = (...[, , onResult]) => {
            onResult(end.startsWith("refused") ? { kind: "refused", refusal } : { kind: "charged", giveBack });
            return () => undefined;
        };
        let count = 0;
        const deps = {
            clock: createVirtualClock(1),
            writeLog: () => undefined,
            retryBudget: {
                recordRequest: () => {
                    count += 1;
                },
            },
            chargeQuota,
            shutdown: { findRefusal: () => refusal },
            onRefusal: () => undefined,
            placer: {},
        } as unknown as RequestRunnerDependencies;
        const caller = {
            isDisconnected: () => false,
            onDisconnect: () => () => undefined,
            refuse: () => undefined,
        } as unknown as CallerExchange;
        const req = {
            id: "request-1",
            service: "generation",
            route: { kind: "idempotent", attempts: 1 },
            customer: { name: "clinic", quota: { unit: "requests", ratePerSecond: 1, burst: 1, plainTokens: 0 } },
        } as unknown as ProxyRequest;
        createRequestRunner(deps).run(req, caller, { decide: () => undefined } as unknown as EndReport);
        recorded.set(this, count);
    },
);

Then("{int} requests count for retries", function(this: SiteWorld, count: number) {
    assert.equal(recorded.get(this), count);
});
