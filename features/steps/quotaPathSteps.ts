/**
 * @module
 * Steps that change the quota of a customer of two instances on loopback.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { call, configuration, getFixture, plainCall, waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

let limitedVersion = configuration.version;

When("the operator limits the customer to {float} requests a second", function(this: SiteWorld, rate: number) {
    limitedVersion += 1;
    const tenants = configuration.tenants.map(tenant => ({ ...tenant, rate_per_s: rate, burst: 3 }));
    getFixture(this).store.put("keyed.op", "config", { ...configuration, version: limitedVersion, tenants });
});

Then("a plain call is eventually refused as over its quota", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    await waitUntil("the quota binds", async () => (await call(fixture, 0, plainCall)).status === 429);
    assert.ok(Number(fixture.answer?.headers["retry-after"]) > 0);
    assert.match(fixture.answer?.text ?? "", /"outcome":"notRun"/);
});

Then("a plain call is eventually served", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    await waitUntil("the quota is raised", async () => (await call(fixture, 0, plainCall)).status === 200);
    assert.equal(fixture.answer?.text, "answer of i-3");
});
