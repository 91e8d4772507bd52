/**
 * @module
 * Steps of the reporter of prefills on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createPrefillReporter, type PrefillReporter } from "../../src/core/fleet/createPrefillReporter.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** A reporter with what it has sent. */
interface ReporterFixture {
    readonly clock: VirtualClock;
    readonly reporter: PrefillReporter;
    sentBytes: number;
}

const reporters = new WeakMap<SiteWorld, ReporterFixture>();

Given("a reporter of prefills whose reports take {int} bytes each", function(this: SiteWorld, bytes: number) {
    const clock = createVirtualClock(1);
    const reporter = createPrefillReporter(clock, () => {
        fixture.sentBytes += bytes;
        return bytes;
    });
    const fixture: ReporterFixture = { clock, reporter, sentBytes: 0 };
    reporters.set(this, fixture);
});

When("{int} prefills begin every second for {int} s", function(this: SiteWorld, rate: number, seconds: number) {
    const { clock, reporter } = reporters.get(this)!;
    for (let index = 0; index < rate * seconds; index += 1) {
        clock.after(
            index * 1_000 / rate,
            () => reporter.add({ engine: "u-1", salt: "s", parts: [{ id: `p-${index}`, tokens: 900 }] }),
        );
    }
    clock.runUntil(clock.now() + seconds * 1_000);
});

Then("at most {int} bytes were sent", function(this: SiteWorld, bytes: number) {
    assert.ok(reporters.get(this)!.sentBytes <= bytes, `${reporters.get(this)!.sentBytes} bytes`);
});

Then("at least {int} bytes were sent", function(this: SiteWorld, bytes: number) {
    assert.ok(reporters.get(this)!.sentBytes >= bytes, `${reporters.get(this)!.sentBytes} bytes`);
});
