/**
 * @module
 * Steps that play histories of upstreams that state rate limits.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type RateLimitRunResult, runRateLimitHistories } from "../../bench/rateLimits/runRateLimitHistories.js";
import type { SiteWorld } from "../support/siteWorld.js";

const results = new WeakMap<SiteWorld, RateLimitRunResult>();

When(
    "{int} histories of upstreams with rate limits are played from seed {int}",
    function(this: SiteWorld, histories: number, firstSeed: number) {
        results.set(this, runRateLimitHistories({ firstSeed, histories }));
    },
);

Then("no history breaks a promise about rate limits", function(this: SiteWorld) {
    const { violations, arrivals } = results.get(this)!;
    assert.ok(arrivals > 0, "no request has reached an upstream");
    assert.deepEqual(violations, []);
});
