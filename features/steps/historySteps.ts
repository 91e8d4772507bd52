/**
 * @module
 * Steps that check generated histories of concurrent requests.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { InjectedFault } from "../../bench/histories/historyTypes.js";
import { type HistoryRunResult, runHistories } from "../../bench/histories/runHistories.js";
import type { SiteWorld } from "../support/siteWorld.js";

const results = new WeakMap<SiteWorld, HistoryRunResult>();

When("{int} histories with seed {int} are checked", function(this: SiteWorld, runs: number, seed: number) {
    results.set(this, runHistories({ seed, runs }));
});

When(
    "{int} histories with seed {int} are checked with the injected fault {string}",
    function(this: SiteWorld, runs: number, seed: number, fault: string) {
        results.set(this, runHistories({ seed, runs, injectedFault: fault as InjectedFault }));
    },
);

Then("no history violates a promise", function(this: SiteWorld) {
    assert.equal(results.get(this)!.failure, undefined);
});

Then(
    "the histories hold at least {int} of each of {string}",
    function(this: SiteWorld, minCount: number, kinds: string) {
        for (const kind of kinds.split(", ")) {
            const count = results.get(this)!.ends.get(kind) ?? 0;
            assert.ok(count >= minCount, `${kind}: ${count}`);
        }
    },
);

Then("a violation is found that says {string}", function(this: SiteWorld, text: string) {
    const { failure } = results.get(this)!;
    assert.ok(failure !== undefined, "the injected fault was not detected");
    assert.ok(failure.includes(text), failure);
});
