/**
 * @module
 * Steps that write log files and let reedwardctl explain a request from them.
 */
import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { appendFileSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { logEventTable } from "../../src/core/logEvents/logEventTable.js";
import { describeLogLine } from "../../src/core/why/describeLogLine.js";
import type { TimeLineEntry } from "../../src/core/why/explainRequest.js";
import { runCommand } from "../../src/ctl/runCommand.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface WhyFixture {
    readonly directory: string;
    readonly files: Map<string, string>;
    exitCode: number;
    text: string;
}

interface LogRow {
    readonly ms: string;
    readonly code: string;
    readonly fields: string;
}

const fixtures = new WeakMap<SiteWorld, WhyFixture>();
const startMs = Date.UTC(2026, 0, 1);

function getFixture(world: SiteWorld): WhyFixture {
    const known = fixtures.get(world);
    if (known !== undefined) {
        return known;
    }
    const directory = mkdtempSync(join(tmpdir(), "reedward-why-"));
    world.cleanups.push(() => {
        rmSync(directory, { recursive: true });
        return Promise.resolve();
    });
    const fixture: WhyFixture = { directory, files: new Map(), exitCode: -1, text: "" };
    fixtures.set(world, fixture);
    return fixture;
}

function fileOf(world: SiteWorld, instance: string): string {
    const { files, directory } = getFixture(world);
    const file = files.get(instance) ?? join(directory, `${instance}.log`);
    files.set(instance, file);
    return file;
}

function toLine(instance: string, { ms, code, fields }: LogRow): string {
    const pairs = fields.trim().split(/ +/).map(field => {
        const [name, value] = field.split("=");
        return [name, value !== undefined && /^\d+$/.test(value) ? Number(value) : value];
    });
    const time = new Date(startMs + Number(ms)).toISOString();
    return JSON.stringify({ time, code, level: "info", instance, message: "event", ...Object.fromEntries(pairs) });
}

Given("the log of {string} has these lines", function(this: SiteWorld, instance: string, table: DataTable) {
    const lines = (table.hashes() as unknown as readonly LogRow[]).map(row => `${toLine(instance, row)}\n`);
    appendFileSync(fileOf(this, instance), lines.join(""));
});

Given("the log of {string} ends in a truncated line", function(this: SiteWorld, instance: string) {
    appendFileSync(fileOf(this, instance), "{\"time\":\"2026-01-01T");
});

When("reedwardctl explains request {string} from the logs", async function(this: SiteWorld, requestId: string) {
    const fixture = getFixture(this);
    const flags = [...fixture.files.values()].flatMap(file => ["--log", file]);
    const write = (text: string) => {
        fixture.text += text;
    };
    fixture.exitCode = await runCommand(
        ["--json", "why", requestId, ...flags],
        {},
        { writeOut: write, writeError: write },
    );
});

Then("the explanation has these sentences in order", function(this: SiteWorld, table: DataTable) {
    const { exitCode, text } = getFixture(this);
    assert.equal(exitCode, 0, text);
    const { timeLine } = JSON.parse(text) as { readonly timeLine: readonly TimeLineEntry[]; };
    assert.deepEqual(timeLine.map(entry => [entry.instance, entry.sentence]), table.raw());
});

Then("the explanation is that no line names it", function(this: SiteWorld) {
    const { exitCode, text } = getFixture(this);
    assert.equal(exitCode, 7);
    assert.match(text, /no line in .* names request r-9/);
});

Then("one line was skipped", function(this: SiteWorld) {
    assert.equal((JSON.parse(getFixture(this).text) as { readonly skipped: number; }).skipped, 1);
});

/** Events that are logged with a request's id on the platform's path. */
const requestEvents = [
    "requestSent",
    "sendEnded",
    "requestRepeated",
    "requestRefused",
    "streamCut",
    "requestServed",
    "foreignAnswer",
    "answerEndJudged",
    "queueMet",
] as const;

Then("every log event of requests is described by a sentence", () => {
    for (const name of requestEvents) {
        const { code, message } = logEventTable[name];
        const sentence = describeLogLine({ timeMs: 0, code, instance: "entry-1", message, fields: {} });
        assert.ok(!sentence.includes(message), name);
        assert.ok(!sentence.includes("undefined"), sentence);
    }
});
