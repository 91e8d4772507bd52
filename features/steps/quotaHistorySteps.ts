/**
 * @module
 * Steps that play histories of quotas.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { measureQuotaUse, type QuotaUse } from "../../bench/quotas/measureQuotaUse.js";
import type { PlannedFault } from "../../bench/quotas/quotaHistoryTypes.js";
import { type QuotaRunResult, runQuotaHistories } from "../../bench/quotas/runQuotaHistories.js";
import type { SiteWorld } from "../support/siteWorld.js";

const results = new WeakMap<SiteWorld, QuotaRunResult>();
const uses = new WeakMap<SiteWorld, QuotaUse>();

When(
    "{int} histories of quotas are played on {int} instances from seed {int}",
    { timeout: 120_000 },
    function(this: SiteWorld, histories: number, instances: number, firstSeed: number) {
        results.set(this, runQuotaHistories({ instances, histories, firstSeed }));
    },
);

When(
    "{int} histories of quotas with requests that exceed a part's capacity are played on {int} instances from seed {int}",
    { timeout: 120_000 },
    function(this: SiteWorld, histories: number, instances: number, firstSeed: number) {
        results.set(this, runQuotaHistories({ instances, histories, firstSeed, areLarge: true }));
    },
);

Then("no customer has used more than its quota allows", function(this: SiteWorld) {
    const { overruns, runs } = results.get(this)!;
    assert.ok(runs > 0, "no request has run");
    assert.deepEqual(overruns, []);
});

const seed = 7;
const fromMs = 10_000;
const toMs = 40_000;

const faults: Readonly<Record<string, readonly PlannedFault[]>> = {
    "without failures": [],
    "while half of the instances are cut off": [{ kind: "partition", atMs: fromMs, forMs: 30_000, share: 0.5 }],
    "while three in ten instances end and return": [{ kind: "kill", atMs: fromMs, forMs: 3_500, share: 0.3 }],
    "while all instances end and return": [{ kind: "kill", atMs: fromMs, forMs: 1_500, share: 1 }],
};

When(
    /^customers ask (\d+) instances for more and for less than their quotas (.+)$/,
    { timeout: 60_000 },
    function(this: SiteWorld, instances: string, name: string) {
        const found = faults[name];
        assert.ok(found !== undefined, name);
        uses.set(this, measureQuotaUse({ seed, instances: Number(instances), faults: found, fromMs, toMs }));
    },
);

Then("those that ask for more get at least {float} of their rate", function(this: SiteWorld, share: number) {
    const { least } = uses.get(this)!;
    assert.ok(least >= share, `${least}`);
});

Then("at most {int} in 100 requests of the others are refused", function(this: SiteWorld, refused: number) {
    const { refusedInside } = uses.get(this)!;
    assert.ok(refusedInside * 100 <= refused, `${refusedInside}`);
});

Then("99 in 100 requests inside their quotas wait at most {int} ms", function(this: SiteWorld, maxMs: number) {
    const { waitMs } = uses.get(this)!;
    assert.ok(waitMs <= maxMs, `${waitMs}`);
});

When(
    "the quotas of {int} instances are changed by a factor of {float}",
    { timeout: 60_000 },
    function(this: SiteWorld, instances: number, factor: number) {
        const quotaChange = { atMs: fromMs, factor };
        uses.set(this, measureQuotaUse({ seed, instances, faults: [], fromMs: fromMs + 8_000, toMs, quotaChange }));
    },
);

Then(
    "customers that ask for more get between {float} and {float} of their earlier rate from 8 s after the change",
    function(this: SiteWorld, atLeast: number, atMost: number) {
        const { least, most } = uses.get(this)!;
        assert.ok(least >= atLeast && most <= atMost, `${least} to ${most}`);
    },
);
