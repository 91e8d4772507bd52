/**
 * @module
 * Steps that write log files and ask reedwardctl to explain a request from them.
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

interface WhyScene {
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

const scenes = new WeakMap<SiteWorld, WhyScene>();
const startMs = Date.UTC(2026, 0, 1);

function sceneOf(world: SiteWorld): WhyScene {
    const known = scenes.get(world);
    if (known !== undefined) {
        return known;
    }
    const directory = mkdtempSync(join(tmpdir(), "reedward-why-"));
    world.cleanups.push(() => {
        rmSync(directory, { recursive: true });
        return Promise.resolve();
    });
    const scene: WhyScene = { directory, files: new Map(), exitCode: -1, text: "" };
    scenes.set(world, scene);
    return scene;
}

function fileOf(world: SiteWorld, instance: string): string {
    const { files, directory } = sceneOf(world);
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
    return JSON.stringify({ time, code, level: "info", instance, message: "told", ...Object.fromEntries(pairs) });
}

Given("the log of {string} has these lines", function(this: SiteWorld, instance: string, table: DataTable) {
    const lines = (table.hashes() as unknown as readonly LogRow[]).map(row => `${toLine(instance, row)}\n`);
    appendFileSync(fileOf(this, instance), lines.join(""));
});

Given("the log of {string} ends in a line that was cut off", function(this: SiteWorld, instance: string) {
    appendFileSync(fileOf(this, instance), "{\"time\":\"2026-01-01T");
});

When("the logs are asked why {string} went as it went", async function(this: SiteWorld, requestId: string) {
    const scene = sceneOf(this);
    const flags = [...scene.files.values()].flatMap(file => ["--log", file]);
    const write = (text: string) => {
        scene.text += text;
    };
    scene.exitCode = await runCommand(
        ["--json", "why", requestId, ...flags],
        {},
        { writeOut: write, writeError: write },
    );
});

Then("the answer tells in this order", function(this: SiteWorld, table: DataTable) {
    const { exitCode, text } = sceneOf(this);
    assert.equal(exitCode, 0, text);
    const { timeLine } = JSON.parse(text) as { readonly timeLine: readonly TimeLineEntry[]; };
    assert.deepEqual(timeLine.map(entry => [entry.instance, entry.sentence]), table.raw());
});

Then("the answer is that no line names it", function(this: SiteWorld) {
    const { exitCode, text } = sceneOf(this);
    assert.equal(exitCode, 7);
    assert.match(text, /no line in .* names request r-9/);
});

Then("one line was passed over", function(this: SiteWorld) {
    assert.equal((JSON.parse(sceneOf(this).text) as { readonly skipped: number; }).skipped, 1);
});

/** Events that the platform's path writes with a request's id. */
const requestEvents = [
    "requestSent",
    "sendEnded",
    "requestRepeated",
    "requestRefused",
    "streamCut",
    "requestServed",
    "foreignAnswer",
] as const;

Then("the log events of requests are all told in sentences", () => {
    for (const name of requestEvents) {
        const { code, message } = logEventTable[name];
        const sentence = describeLogLine({ timeMs: 0, code, instance: "entry-1", message, fields: {} });
        assert.ok(!sentence.includes(message), name);
        assert.ok(!sentence.includes("undefined"), sentence);
    }
});
