/**
 * @module
 * Steps of reports of loading engines on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { createLoadingReporter } from "../../src/core/fleet/createLoadingReporter.js";
import { createLoadingView, type LoadingView } from "../../src/core/fleet/createLoadingView.js";
import type { LoadingReport } from "../../src/core/fleet/loadingReport.js";
import { createWeightsView, type WeightsView } from "../../src/core/weights/createWeightsView.js";
import type { SiteWorld } from "../support/siteWorld.js";

const sentReports = new WeakMap<SiteWorld, (readonly string[])[]>();

Given("an instance that reports which engines load", function(this: SiteWorld) {
    sentReports.set(this, []);
});

When(
    "{int} engines begin to load at once and end {int} ms after one another",
    function(this: SiteWorld, count: number, spacingMs: number) {
        const clock = createVirtualClock(1);
        const sent = sentReports.get(this)!;
        const reporter = createLoadingReporter(clock, loading => sent.push(loading));
        const engines = Array.from({ length: count }, (_, index) => `u-${index + 1}`);
        reporter.report(engines);
        for (let ended = 1; ended <= count; ended += 1) {
            clock.after(500 + ended * spacingMs, () => reporter.report(engines.slice(ended)));
        }
        clock.runUntil(5_000);
    },
);

Then("the first report names {int} engines", function(this: SiteWorld, count: number) {
    assert.equal(sentReports.get(this)![0]?.length, count);
});

Then("at most {int} reports were sent, the last of which names none", function(this: SiteWorld, most: number) {
    const sent = sentReports.get(this)!;
    assert.ok(sent.length <= most, `${sent.length} reports`);
    assert.deepEqual(sent.at(-1), []);
});

interface ReceiverFixture {
    readonly view: LoadingView;
    readonly weights: WeightsView;
}

const receivers = new WeakMap<SiteWorld, ReceiverFixture>();

const engines = ["u-1", "u-2", "u-3"];

function createReport(sequence: number, loading: readonly string[], startedAtMs = 1): LoadingReport {
    return { loadingBy: "entry-2", sequence, startedAtMs, loading };
}

function listLoading(world: SiteWorld): readonly string[] {
    return engines.filter(engine => receivers.get(world)!.weights.isLoading(engine));
}

Given("an instance that has heard that {string} and {string} load", function(
    this: SiteWorld,
    first: string,
    second: string,
) {
    const weights = createWeightsView();
    const view = createLoadingView(weights.setLoading);
    view.applyReport(createReport(7, [first, second]), 0);
    receivers.set(this, { view, weights });
    assert.deepEqual(listLoading(this), [first, second]);
});

When("nothing is heard for {int} ms", function(this: SiteWorld, elapsedMs: number) {
    receivers.get(this)!.view.removeExpired(elapsedMs);
});

When("a report arrives that none loads, and then an earlier one that {string} loads", function(
    this: SiteWorld,
    engine: string,
) {
    const { view } = receivers.get(this)!;
    view.applyReport(createReport(9, []), 100);
    view.applyReport(createReport(8, [engine]), 110);
});

When("the next incarnation of the sender reports for the first time that {string} loads", function(
    this: SiteWorld,
    engine: string,
) {
    receivers.get(this)!.view.applyReport(createReport(1, [engine], 2), 100);
});

Then("no engine is taken for loading", function(this: SiteWorld) {
    assert.deepEqual(listLoading(this), []);
});

Then("{string} alone is taken for loading", function(this: SiteWorld, engine: string) {
    assert.deepEqual(listLoading(this), [engine]);
});
