/**
 * @module
 * Steps about owners and candidates of quotas.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { FleetInstance } from "../../src/core/fleet/heartbeat.js";
import { listQuotaCandidates } from "../../src/core/quotas/listQuotaCandidates.js";
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
