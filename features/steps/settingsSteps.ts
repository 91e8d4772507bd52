/**
 * @module
 * Steps that read settings and run the daemon's own check of them.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { readSettings } from "../../src/settings/readSettings.js";
import type { SiteWorld } from "../support/siteWorld.js";

const secrets = {
    REEDWARD_PEER_SECRET: "peer-secret-of-a-test",
    REEDWARD_OPERATOR_SECRET: "operator-secret-of-a-test",
};
const identity = ["--instance", "entry-1", "--failure-domain", "bilbao-a"];
const readings = new WeakMap<SiteWorld, ReturnType<typeof readSettings>>();
const runs = new WeakMap<SiteWorld, { readonly code: number | undefined; readonly text: string; }>();

When(/^settings are read with (.+)$/, function(this: SiteWorld, flags: string) {
    const environment = { ...secrets, REEDWARD_LOG_LEVEL: "error" };
    readings.set(this, readSettings([...identity, ...flags.split(" ")], environment));
});

When("settings are read without a failure domain", function(this: SiteWorld) {
    readings.set(this, readSettings(["--instance", "entry-1"], secrets));
});

Then("the problem names {string} and expects {string}", function(this: SiteWorld, setting: string, expected: string) {
    const reading = readings.get(this)!;
    assert.ok(reading.isErr);
    assert.equal(reading.error.length, 1);
    const problem = reading.error[0]!;
    assert.ok(problem.setting.includes(setting), problem.setting);
    assert.ok(problem.expected.includes(expected), problem.expected);
});

Then("the setting logLevel is {string}", function(this: SiteWorld, expected: string) {
    const reading = readings.get(this)!;
    assert.ok(reading.isOk);
    assert.equal(reading.value.settings.logLevel, expected);
});

function runDaemon(world: SiteWorld, flags: readonly string[]): void {
    const args = ["dist/src/daemon.js", "--check-settings", ...identity, ...flags];
    const run = spawnSync(process.execPath, args, { env: { ...process.env, ...secrets }, encoding: "utf8" });
    runs.set(world, { code: run.status ?? undefined, text: run.stdout + run.stderr });
}

When("reedward is run with --check-settings and an invalid setting", function(this: SiteWorld) {
    runDaemon(this, ["--entry-limit", "many"]);
});

When("reedward is run with --check-settings and valid settings", function(this: SiteWorld) {
    runDaemon(this, []);
});

Then("it exits with code {int} and prints {string}", function(this: SiteWorld, code: number, part: string) {
    const run = runs.get(this)!;
    assert.equal(run.code, code, run.text);
    assert.ok(run.text.includes(part), run.text);
});

Then("no secret is written", function(this: SiteWorld) {
    for (const secret of Object.values(secrets)) {
        assert.ok(!runs.get(this)!.text.includes(secret));
    }
});
