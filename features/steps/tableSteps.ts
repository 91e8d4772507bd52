/**
 * @module
 * Steps that compare tables in the docs with the code.
 */
import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { errorTable } from "../../src/core/errors/errorTable.js";
import { logEventTable } from "../../src/core/logEvents/logEventTable.js";
import { createMetrics } from "../../src/io/metrics/createMetrics.js";
import { createRouterMetrics } from "../../src/io/metrics/createRouterMetrics.js";
import { formatSettingsReference } from "../../src/settings/formatSettingsReference.js";

function readRows(file: string): readonly (readonly string[])[] {
    const lines = readFileSync(file, "utf8").split("\n").filter(line => line.startsWith("| ")).slice(2);
    return lines.map(line => line.split("|").slice(1, -1).map(cell => cell.trim().replaceAll("`", "")));
}

Then("the error page has one row for each error kind with its status, outcome and advice", function() {
    const expected = Object.entries(errorTable).map((
        [kind, row],
    ) => [kind, String(row.status), row.outcome, row.advice]);
    const found = readRows("docs/operating/errors.md").map(row => row.slice(0, 4));
    assert.deepEqual(found.toSorted(), expected.toSorted());
});

Then("the log event page has one row for each log event with its code, level and message", function() {
    const expected = Object.entries(logEventTable).map((
        [name, event],
    ) => [event.code, name, event.level, event.message]);
    assert.deepEqual(readRows("docs/LOG-EVENTS.md").toSorted(), expected.toSorted());
    assert.equal(new Set(expected.map(([code]) => code)).size, expected.length, "codes are unique");
});

Then("the settings page is the generated settings reference", function() {
    assert.equal(readFileSync("docs/operating/settings.md", "utf8"), formatSettingsReference());
});

Then("every error kind has a status of 400 or more and a sentence that ends with a full stop", function() {
    for (const [kind, row] of Object.entries(errorTable)) {
        assert.ok(row.status >= 400 && row.sentence.endsWith("."), kind);
    }
});

Then("the router's metrics page has one row for each metric", async function() {
    const expected = (await createRouterMetrics().registry.getMetricsAsJSON()).map(metric => metric.name);
    assert.deepEqual(readRows("docs/operating/router-metrics.md").map(row => row[0]).toSorted(), expected.toSorted());
});

Then("the metrics page has one row for each metric", async function() {
    const expected = (await createMetrics().registry.getMetricsAsJSON()).map(metric => metric.name);
    assert.deepEqual(readRows("docs/operating/metrics.md").map(row => row[0]).toSorted(), expected.toSorted());
});
