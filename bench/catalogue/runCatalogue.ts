/**
 * @module
 * `npm run bench -- catalogue`: measures the time until changes are in force, and the cost of the fold at the
 * current and the two-year size.
 */
import { parseArgs } from "node:util";
import type { InForceSummary } from "./createInForceTimes.js";
import { measureFold } from "./measureFold.js";
import { measureLoopback } from "./measureLoopback.js";
import { measureVirtual } from "./measureVirtual.js";

/** Target for the 99th percentile over changes at 8 instances, in milliseconds. */
const targetP99Ms = 2_000;

/** Bound on the time until a change is in force at every instance, in milliseconds. */
const boundMs = 4_000;

const currentInstances = 8;
const twoYearInstances = 380;

/** Mean time between two changes at 12,000 per day, in milliseconds. */
const twoYearGapMs = 7_200;

const currentSize = { upstreams: 17, customers: 8, models: 2 };
const twoYearSize = { upstreams: 3_700, customers: 220, models: 21 };
const twoYearChangesPerSecond = 12_000 / 86_400;

/** One-way delay of a slow log: 100 to 300 ms, and 800 ms in 2% of the calls. */
function toSlowDelayMs(random: number): number {
    return random < 0.02 ? 800 : 100 + 200 * random;
}

function toFastDelayMs(random: number): number {
    return 0.5 + 2 * random;
}

function formatRow(name: string, summary: InForceSummary): string {
    const cells = [summary.p50Ms, summary.p99Ms, summary.everywhereP99Ms, summary.worstMs]
        .map(value => value.toFixed(0).padStart(9));
    return `${name.padEnd(34)} ${`${summary.complete}/${summary.changes}`.padStart(9)}${cells.join("")}`;
}

/** Runs the measurement. */
export async function runCatalogue(args: readonly string[]): Promise<void> {
    const { values } = parseArgs({
        args: [...args],
        options: { seed: { type: "string", default: "1" }, changes: { type: "string", default: "150" } },
    });
    const seed = Number(values.seed);
    const changes = Number(values.changes);
    const loopback = { seed, instances: currentInstances, changes };
    const virtual = { seed, instances: twoYearInstances, changes: Math.min(changes, 40), meanGapMs: twoYearGapMs };
    const rows = {
        loopback8: await measureLoopback({ ...loopback, toDelayMs: undefined }),
        loopback8Slow: await measureLoopback({ ...loopback, toDelayMs: toSlowDelayMs }),
        virtual380: await measureVirtual({ ...virtual, toDelayMs: toFastDelayMs, outageMs: 0 }),
        virtual380Slow: await measureVirtual({ ...virtual, toDelayMs: toSlowDelayMs, outageMs: 0 }),
        virtual380Outage: await measureVirtual({ ...virtual, toDelayMs: toFastDelayMs, outageMs: 60_000 }),
    };
    const today = measureFold(currentSize, 2_000);
    const twoYear = measureFold(twoYearSize, 2_000);
    const coreShare = twoYear.foldMicroseconds * twoYearChangesPerSecond / 1e6;
    const lines = [
        `${"in force, ms".padEnd(34)} ${"changes".padStart(9)}${
            ["p50", "p99", "all p99", "worst"].map(one => one.padStart(9)).join("")
        }`,
        ...Object.entries(rows).map(([name, summary]) => formatRow(name, summary)),
        "",
        `fold of one change: ${today.foldMicroseconds.toFixed(0)} us at ${today.entries} entries, `
        + `${twoYear.foldMicroseconds.toFixed(0)} us at ${twoYear.entries}, `
        + `${(twoYear.foldMicroseconds / today.foldMicroseconds).toFixed(1)} times; `
        + `${(coreShare * 100).toFixed(4)}% of a core at 12,000 changes a day`,
        `snapshot at the two-year size: ${twoYear.snapshotBytes} bytes in ${twoYear.snapshotRecords} records, `
        + `${twoYear.snapshotMilliseconds.toFixed(0)} ms to write and read`,
    ];
    process.stdout.write(`${lines.join("\n")}\n`);
    const isEverywhere = Object.values(rows).every(row => row.complete === row.changes && row.worstMs <= boundMs);
    const isTargetMet = [rows.loopback8, rows.loopback8Slow].every(row => row.everywhereP99Ms < targetP99Ms);
    process.stdout.write(
        `${JSON.stringify({ seed, isTargetMet, isEverywhere, ...rows, today, twoYear, coreShare })}\n`,
    );
}
