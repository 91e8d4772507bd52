/**
 * @module
 * Steps in which the platform's store comes back from an older copy.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { configuration, getFixture, listEntries, startInstance, waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** Time after its start in which an instance reads the addresses of the others, in milliseconds. */
const addressReadsMs = 3_500;

Then("both engines have version {int}", async function(this: SiteWorld, version: number) {
    const { engines } = getFixture(this);
    await waitUntil("both engines have the version", () => engines.every(engine => engine.version() === version));
});

When("the store comes back without the claims of the rollout lease", function(this: SiteWorld) {
    const { store } = getFixture(this);
    store.returnFromCopy(topic => topic === "reedward-rollout-lease" ? store.countRecords(topic) : 0);
});

Then("each order carries a higher fencing number than the orders of earlier claims", function(this: SiteWorld) {
    for (const { orders } of getFixture(this).engines) {
        assert.deepEqual(orders.map(order => order.version), [2, 3]);
        assert.ok(orders[1]!.fence > orders[0]!.fence, JSON.stringify(orders));
    }
});

When(/^the operator publishes configuration (\d+)(?: at once)?$/, function(this: SiteWorld, version: string) {
    getFixture(this).store.put("keyed.op", "config", { ...configuration, version: Number(version) });
});

When(
    "the store comes back without the last record of the operator",
    function(this: SiteWorld) {
        getFixture(this).store.returnFromCopy(topic => topic === "keyed.op" ? 1 : 0);
    },
);

When(
    "the store comes back without the last {int} records of the operator",
    function(this: SiteWorld, count: number) {
        getFixture(this).store.returnFromCopy(topic => topic === "keyed.op" ? count : 0);
    },
);

Then("both instances have reported the return", async function(this: SiteWorld) {
    const { logged } = getFixture(this);
    await waitUntil(
        "both instances have seen the return",
        () => logged.filter(({ event }) => event === "storeReturned").length === 2,
    );
});

Then(
    "no instance has taken an older configuration or asked an engine for older weights",
    function(this: SiteWorld) {
        const { engines, logged } = getFixture(this);
        const versions = logged.filter(({ event }) => event === "configurationInForce")
            .map(({ fields }) => Number(fields["version"]));
        assert.deepEqual(versions, versions.toSorted((left, right) => left - right));
        engines.forEach(({ orders }) => assert.deepEqual(orders.map(order => order.version), [2]));
    },
);

Given("the store states the era {string}", function(this: SiteWorld, text: string) {
    getFixture(this).store.setStatedEra(text);
});

When("the store states no era", function(this: SiteWorld) {
    getFixture(this).store.setStatedEra(undefined);
});

Then("each instance has logged each unusable era once", async function(this: SiteWorld) {
    const listStated = () =>
        getFixture(this).logged.filter(({ event }) => event === "storeEraRejected").map(({ fields }) =>
            fields["stated"]
        );
    await waitUntil("both unusable eras are logged", () => listStated().length >= 4);
    assert.deepEqual(listStated().toSorted(), ["malformed", "malformed", "missing", "missing"]);
});

Then("both instances have configuration {int}", async function(this: SiteWorld, version: number) {
    const { logged } = getFixture(this);
    const count = () =>
        logged.filter(({ event, fields }) => event === "configurationInForce" && fields["version"] === version).length;
    await waitUntil("both instances have the configuration", () => count() === 2);
});

Given("the instances read the addresses of the others for the last time", async () => {
    await new Promise(resolve => setTimeout(resolve, addressReadsMs));
});

When("the store comes back without the addresses of the instances", function(this: SiteWorld) {
    const { store } = getFixture(this);
    store.returnFromCopy(topic => topic === "keyed.reedward-instances" ? store.countRecords(topic) : 0);
});

When("a third instance starts that knows only the store", async function(this: SiteWorld) {
    await startInstance(this, getFixture(this), []);
});

Then("the third instance lists all three", async function(this: SiteWorld) {
    const third = getFixture(this).instances[2]!;
    await waitUntil("all three are listed", async () => (await listEntries(third)).length === 3);
});
