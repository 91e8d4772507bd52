/**
 * @module
 * Steps that play histories of engines that end under requests.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type QuarantineRunResult, runQuarantineHistories } from "../../bench/quarantine/runQuarantineHistories.js";
import type { SiteWorld } from "../support/siteWorld.js";

const results = new WeakMap<SiteWorld, QuarantineRunResult>();

When(
    "{int} histories of parts that end engines are played from seed {int}",
    function(this: SiteWorld, histories: number, firstSeed: number) {
        results.set(this, runQuarantineHistories({ firstSeed, histories, hasHarmfulParts: true }));
    },
);

When(
    "{int} histories of engines that end for other reasons are played from seed {int}",
    function(this: SiteWorld, histories: number, firstSeed: number) {
        results.set(this, runQuarantineHistories({ firstSeed, histories, hasHarmfulParts: false }));
    },
);

Then("no history breaks a promise about parts that end engines", function(this: SiteWorld) {
    assert.deepEqual(results.get(this)!.violations, []);
});

Then("no history has late sends or a sound part that is held back", function(this: SiteWorld) {
    const isLostService = (text: string) => text.includes("of the sound requests began");
    assert.deepEqual(results.get(this)!.violations.filter(text => !isLostService(text)), []);
});

Then("at least {int} engines have ended", function(this: SiteWorld, count: number) {
    const { endedEngines } = results.get(this)!;
    assert.ok(endedEngines >= count, `${endedEngines} engines ended`);
});
