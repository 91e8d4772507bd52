/**
 * @module
 * Measures what a claim adds to a call: latency in round trips to the log, and appends per call, with and
 * without batching.
 */
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { startFakeLog } from "../../fakes/startFakeLog.js";
import type { ClaimManager } from "../../src/core/claims/createClaimManager.js";
import type { LogPort } from "../../src/core/ports/logPort.js";
import { createLogClaims } from "../../src/io/claims/createLogClaims.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createCallJson } from "../../src/io/platform/callJson.js";
import { createLogClient } from "../../src/io/platform/createLogClient.js";

interface ClaimFigures {
    readonly mode: string;
    readonly concurrent: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly appendsPerCall: number;
    readonly callsPerSecond: number;
    /** Calls whose claim was not won. */
    readonly lost: number;
}

const connectTimeoutMs = 1_000;
const warmUpMs = 200;
const settleMs = 300;
const measuredAppends = 200;
const answer = { status: 200, contentType: "application/json", body: new Uint8Array(200) };

function findQuantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Appends every record in a call of its own, to turn batching off. */
function splitAppends(log: LogPort): LogPort {
    return {
        ...log,
        append: async (stream, payloads) => {
            const results = await Promise.all(payloads.map(payload => log.append(stream, [payload])));
            return results.find(result => result.isErr) ?? results[0]!;
        },
    };
}

function claimOnce(manager: ClaimManager, clock: ReturnType<typeof createSystemClock>, key: string): Promise<boolean> {
    const req = { key, fingerprint: "f", issuedMs: clock.wallNow(), deadlineMs: clock.now() + 10_000 };
    return new Promise(resolve => {
        manager.claim(req, verdict => {
            if (verdict.kind === "won") {
                manager.conclude(key, verdict.claimId, { kind: "answered", answer });
            }
            resolve(verdict.kind === "won");
        });
    });
}

async function measure(isBatched: boolean, concurrent: number, calls: number): Promise<ClaimFigures> {
    const fake = await startFakeLog();
    const json = createCallJson(connectTimeoutMs);
    const clock = createSystemClock();
    const port = createLogClient(`http://${fake.address}`, json.call);
    const manager = createLogClaims({ log: isBatched ? port : splitAppends(port), clock, onAppend: () => undefined });
    manager.start();
    await delay(warmUpMs);
    const times: number[] = [];
    let lost = 0;
    let next = 0;
    const startMs = performance.now();
    await Promise.all(Array.from({ length: concurrent }, async () => {
        while (next < calls) {
            const key = `key-${next += 1}`;
            const sentMs = performance.now();
            lost += await claimOnce(manager, clock, key) ? 0 : 1;
            times.push(performance.now() - sentMs);
        }
    }));
    const seconds = (performance.now() - startMs) / 1000;
    await delay(settleMs);
    const appendsPerCall = fake.countAppends() / calls;
    manager.stop();
    await json.close();
    await fake.close();
    times.sort((left, right) => left - right);
    return {
        mode: isBatched ? "batched" : "one record an append",
        concurrent,
        p50Ms: Number(findQuantile(times, 0.5).toFixed(2)),
        p99Ms: Number(findQuantile(times, 0.99).toFixed(2)),
        appendsPerCall: Number(appendsPerCall.toFixed(3)),
        callsPerSecond: Math.round(calls / seconds),
        lost,
    };
}

/** Measures the median time of one append over loopback, in milliseconds: the unit in which latencies are printed. */
async function measureAppend(): Promise<number> {
    const fake = await startFakeLog();
    const json = createCallJson(connectTimeoutMs);
    const log = createLogClient(`http://${fake.address}`, json.call);
    const times: number[] = [];
    for (let index = 0; index < measuredAppends; index += 1) {
        const startMs = performance.now();
        await log.append("claims", ["{}"]);
        times.push(performance.now() - startMs);
    }
    await json.close();
    await fake.close();
    times.sort((left, right) => left - right);
    return findQuantile(times, 0.5);
}

/**
 * Runs the measurement.
 *
 * @param args - Flag `--calls N`: number of calls of each row.
 */
export async function runClaims(args: readonly string[]): Promise<void> {
    const { values } = parseArgs({ args: [...args], options: { calls: { type: "string", default: "1000" } } });
    const calls = Number(values.calls);
    const appendMs = await measureAppend();
    const rows: ClaimFigures[] = [];
    for (const concurrent of [1, 8, 64]) {
        for (const isBatched of [true, false]) {
            rows.push(await measure(isBatched, concurrent, calls));
        }
    }
    process.stdout.write(`one append over loopback: p50 ${appendMs.toFixed(2)} ms\n`);
    for (const row of rows) {
        const ratio = (row.p50Ms / appendMs).toFixed(1);
        process.stdout.write(
            `${row.mode.padEnd(22)}${
                String(row.concurrent).padStart(3)
            } at once  p50 ${row.p50Ms} ms (${ratio} appends)`
                + `  p99 ${row.p99Ms} ms  ${row.appendsPerCall} appends a call  ${row.callsPerSecond} calls/s`
                + `  ${row.lost} not won\n`,
        );
    }
    process.stdout.write(`${JSON.stringify({ bench: "claims", appendMs, rows })}\n`);
}
