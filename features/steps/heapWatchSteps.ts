/**
 * @module
 * Steps on the watch of the heap.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createHeapWatch } from "../../src/core/memory/createHeapWatch.js";
import type { SiteWorld } from "../support/siteWorld.js";

const reportedBytes = new WeakMap<SiteWorld, readonly number[]>();
const bytesPerMegabyte = 1_000_000;

function toNumbers(list: string): readonly number[] {
    return list.split(/, | and /).map(Number);
}

When(/^the use of a heap of (\d+) MB is (.+) MB$/, function(this: SiteWorld, limit: string, uses: string) {
    const reported: number[] = [];
    let usedBytes = 0;
    const watch = createHeapWatch(
        () => ({ usedBytes, limitBytes: Number(limit) * bytesPerMegabyte }),
        use => reported.push(use.usedBytes),
    );
    for (const megabytes of toNumbers(uses)) {
        usedBytes = megabytes * bytesPerMegabyte;
        watch.check();
    }
    reportedBytes.set(this, reported);
});

Then(/^it is reported at (.+) MB$/, function(this: SiteWorld, uses: string) {
    assert.deepEqual(reportedBytes.get(this), toNumbers(uses).map(megabytes => megabytes * bytesPerMegabyte));
});
