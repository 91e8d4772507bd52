/**
 * @module
 * Steps that check which version of the configuration is in force on instances beside troubles of the store.
 */
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { SiteWorld } from "../support/siteWorld.js";
import {
    type FreshnessBounds,
    type HistoryResult,
    playStoreHistory,
    type StoreHistory,
    storeHistoryArbitrary,
} from "../support/storeHistories.js";

/** Time without trouble after which an instance counts as in touch, in milliseconds; the platform's bound. */
const stableMs = 3_000;

const histories = new WeakMap<SiteWorld, StoreHistory>();

function listAll(instances: number): readonly number[] {
    return Array.from({ length: instances }, (_, index) => index);
}

function describeFirst({ violations }: HistoryResult): string {
    return `${violations.length} violations, the first one: ${JSON.stringify(violations[0])}`;
}

When(
    "all connections of {int} instances to the store go silent right after a version, and another one is confirmed then",
    function(this: SiteWorld, instances: number) {
        histories.set(this, {
            instances,
            connectionTroubles: [{ kind: "silence", atMs: 5_100, durationMs: 0, instances: listAll(instances) }],
            storeTroubles: [],
            publishedMs: [5_000, 5_300],
            seed: 1,
        });
    },
);

When(
    "{int} instances lose their connections while the store comes back from a copy that has grown to their offset",
    function(this: SiteWorld, instances: number) {
        histories.set(this, {
            instances,
            connectionTroubles: [{ kind: "silence", atMs: 501, durationMs: 0, instances: listAll(instances) }],
            storeTroubles: [{ kind: "return", atMs: 500, durationMs: 100 }],
            publishedMs: [456, 461],
            seed: 1,
        });
    },
);

Then(
    "each instance that is in touch has every version that was confirmed {int} ms before",
    async function(this: SiteWorld, inForceMs: number) {
        const result = await playStoreHistory(histories.get(this)!, { stableMs, inForceMs });
        assert.equal(result.violations.length, 0, describeFirst(result));
    },
);

async function checkHistories(runs: number, seed: number, bounds: FreshnessBounds): Promise<void> {
    await fc.assert(
        fc.asyncProperty(storeHistoryArbitrary, async history => {
            const result = await playStoreHistory(history, bounds);
            assert.equal(result.violations.length, 0, describeFirst(result));
        }),
        { numRuns: runs, seed },
    );
}

Then(
    "over {int} random histories with seed {int}, each instance in touch has every version confirmed {int} ms before and "
        + "never goes back",
    { timeout: 120_000 },
    (runs: number, seed: number, inForceMs: number) => checkHistories(runs, seed, { stableMs, inForceMs }),
);
