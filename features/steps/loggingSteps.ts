/**
 * @module
 * Steps for the writing of log lines.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, read, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { type BoundedLogger, createBoundedLogger } from "../../src/io/logging/createBoundedLogger.js";
import { createLineWriter, type LineWriter } from "../../src/io/logging/createLineWriter.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface StalledLog {
    readonly path: string;
    readonly descriptor: number;
    readonly writer: LineWriter;
    readonly logger: BoundedLogger;
    turns: number;
    text: string;
}

const maxQueued = 65_536;

/** Bound of the wait until nothing is left to write, in milliseconds. */
const finishMs = 5_000;

const stalledLogs = new WeakMap<SiteWorld, StalledLog>();
const written = new WeakMap<SiteWorld, readonly string[]>();
const finished = new WeakMap<SiteWorld, boolean>();

function findStalledLog(world: SiteWorld): StalledLog {
    const stalled = stalledLogs.get(world);
    assert.ok(stalled !== undefined);
    return stalled;
}

const nextTurn = () => new Promise<void>(resolve => setImmediate(resolve));

function openLog(world: SiteWorld): StalledLog {
    const folder = mkdtempSync(join(tmpdir(), "reedward-log-"));
    const path = join(folder, "pipe");
    assert.equal(spawnSync("mkfifo", [path]).status, 0);
    // Opened for reading and writing, so that neither end blocks in open; nothing is read until a step reads.
    const descriptor = openSync(path, constants.O_RDWR);
    const writerDescriptor = openSync(path, constants.O_WRONLY);
    world.cleanups.push(() => {
        closeSync(writerDescriptor);
        rmSync(folder, { recursive: true });
    });
    const writer = createLineWriter({ descriptor: writerDescriptor, maxQueued });
    const clock = createVirtualClock(1);
    const logger = createBoundedLogger({ instance: "entry-1", clock, writer, linesPerSecond: 1e6, burst: 1e6 });
    const log = { path, descriptor, writer, logger, turns: 0, text: "" };
    stalledLogs.set(world, log);
    return log;
}

Given("a log whose reader has stalled", function(this: SiteWorld) {
    const { descriptor } = openLog(this);
    this.cleanups.push(() => closeSync(descriptor));
});

Given("a log whose reader has closed its end", function(this: SiteWorld) {
    closeSync(openLog(this).descriptor);
});

Then("all {int} lines are counted as dropped", async function(this: SiteWorld, count: number) {
    const { logger, writer } = findStalledLog(this);
    assert.ok(await writer.finish(finishMs));
    assert.equal(logger.listDropped().get("requestServed"), count);
});

When("a new reader opens the log and one more line is written", async function(this: SiteWorld) {
    const stalled = findStalledLog(this);
    const descriptor = openSync(stalled.path, constants.O_RDWR);
    this.cleanups.push(() => closeSync(descriptor));
    stalled.logger.writeLog("requestServed", { requestId: "last" });
    stalled.text = await readSome(descriptor);
});

Then("it gets one line, which reports that {int} were dropped", function(this: SiteWorld, dropped: number) {
    const lines = findStalledLog(this).text.trimEnd().split("\n").map(line =>
        JSON.parse(line) as { requestId: string; leftOut?: number; }
    );
    assert.deepEqual(lines.map(line => [line.requestId, line.leftOut]), [["last", dropped]]);
});

When("{int} lines are written to it", async function(this: SiteWorld, count: number) {
    const stalled = findStalledLog(this);
    for (let line = 0; line < count; line += 1) {
        stalled.logger.writeLog("requestServed", { requestId: `r-${line}` });
        if (line % 100 === 0) {
            await nextTurn();
            stalled.turns += 1;
        }
    }
});

Then("the event loop kept running meanwhile", function(this: SiteWorld) {
    assert.equal(findStalledLog(this).turns, 200);
});

Then(
    "at most {int} characters are queued, and the dropped lines are counted",
    function(this: SiteWorld, maxCharacters: number) {
        const { writer, logger } = findStalledLog(this);
        assert.ok(writer.queuedBytes() <= maxCharacters);
        assert.ok((logger.listDropped().get("requestServed") ?? 0) > 0);
    },
);

/** Reads the content of the pipe; waits until the pipe holds at least one byte. */
function readSome(descriptor: number): Promise<string> {
    const buffer = Buffer.alloc(maxQueued);
    return new Promise((resolve, reject) => {
        read(descriptor, { buffer }, (err, length) => {
            if (err instanceof Error) {
                reject(err);
                return;
            }
            resolve(buffer.toString("utf8", 0, length));
        });
    });
}

When("the reader reads again", async function(this: SiteWorld) {
    const stalled = findStalledLog(this);
    while (stalled.writer.queuedBytes() > 0) {
        stalled.text += await readSome(stalled.descriptor);
        await nextTurn();
    }
    stalled.logger.writeLog("requestServed", { requestId: "last" });
    while (!stalled.text.endsWith("\n") || !stalled.text.includes("\"last\"")) {
        stalled.text += await readSome(stalled.descriptor);
    }
});

Then(
    "it gets complete lines only, and the first one after dropped lines reports their number",
    function(this: SiteWorld) {
        const { text, logger } = findStalledLog(this);
        const lines = text.trimEnd().split("\n").map(line =>
            JSON.parse(line) as { requestId: string; leftOut?: number; }
        );
        const droppedCount = lines.reduce((sum, line) => sum + (line.leftOut ?? 0), 0);
        assert.equal(droppedCount, logger.listDropped().get("requestServed"));
        assert.equal(lines.length + droppedCount, 20_001);
    },
);

When(
    "{int} lines of one event are written at once and one more after {int} s",
    function(this: SiteWorld, count: number, delayS: number) {
        const clock = createVirtualClock(1);
        const lines: string[] = [];
        const writer = { write: (line: string) => lines.push(line) > 0 };
        const logger = createBoundedLogger({ instance: "entry-1", clock, writer, linesPerSecond: 40, burst: 400 });
        for (let line = 0; line < count; line += 1) {
            logger.writeLog("requestServed", { requestId: `r-${line}` });
        }
        clock.runUntil(delayS * 1_000);
        logger.writeLog("requestServed", { requestId: "last" });
        written.set(this, lines);
    },
);

Then(
    "{int} lines are written and the last one reports that {int} were dropped",
    function(this: SiteWorld, count, dropped) {
        const lines = written.get(this) ?? [];
        assert.equal(lines.length, count + 1);
        assert.equal((JSON.parse(lines.at(-1)!) as { leftOut?: number; }).leftOut, dropped);
    },
);

/** Stops this thread for a time in milliseconds. */
function standStill(durationMs: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, durationMs);
}

When(
    "the last lines of a log are written while the process does not run until their time is over",
    async function(this: SiteWorld) {
        const folder = mkdtempSync(join(tmpdir(), "reedward-log-"));
        const path = join(folder, "log");
        const descriptor = openSync(path, "w");
        this.cleanups.push(() => {
            closeSync(descriptor);
            rmSync(folder, { recursive: true });
        });
        const writer = createLineWriter({ descriptor, maxQueued });
        writer.write("last");
        const isFinished = writer.finish(1);
        while (readFileSync(path, "utf8") !== "last\n") {
            standStill(1);
        }
        standStill(20);
        finished.set(this, await isFinished);
    },
);

Then("they count as written", function(this: SiteWorld) {
    assert.equal(finished.get(this), true);
});
