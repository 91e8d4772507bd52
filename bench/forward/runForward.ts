/**
 * @module
 * Compares forwarding of event streams with a plain pass-through in the same run, and measures the memory of open
 * streams. Engine and callers are worker threads; the processor time is that of the main thread only.
 */
import { readFileSync } from "node:fs";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Worker } from "node:worker_threads";
import type { SinkReport } from "./sinkWorker.js";
import type { SourceLoad } from "./sourceWorker.js";
import { createCoreForwarder, createPassThrough } from "./startForwarders.js";

type CreateForwarder = (upstreamPort: number) => Server;

interface ForwardFigures {
    readonly eventsPerSecond: number;
    readonly cpuMicrosecondsPerEvent: number;
    readonly completeStreams: number;
}

const rounds = 3;
const settleMs = 1_000;
const holdMs = 1_500;
const openStreams = 1_000;
const nanosecondsPerMicrosecond = 1_000;

function readThreadCpuMicroseconds(): number {
    const text = readFileSync(`/proc/self/task/${process.pid}/schedstat`, "utf8");
    return Number(text.split(" ")[0]) / nanosecondsPerMicrosecond;
}

function startWorker<T>(file: string, workerData: unknown): { worker: Worker; message: Promise<T>; } {
    const worker = new Worker(new URL(file, import.meta.url), { workerData });
    const message = new Promise<T>((resolve, reject) => {
        worker.once("message", resolve);
        worker.once("error", reject);
    });
    return { worker, message };
}

async function listen(server: Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
}

async function withForwarder<T>(
    create: CreateForwarder,
    load: SourceLoad,
    use: (port: number) => Promise<T>,
): Promise<T> {
    const source = startWorker<number>("./sourceWorker.js", load);
    const server = create(await source.message);
    const result = await use(await listen(server));
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
    await source.worker.terminate();
    return result;
}

function measure(create: CreateForwarder, streams: number, load: SourceLoad): Promise<ForwardFigures> {
    return withForwarder(create, load, async port => {
        const cpuBefore = readThreadCpuMicroseconds();
        const sink = startWorker<SinkReport>("./sinkWorker.js", { port, streams });
        const report = await sink.message;
        const cpu = readThreadCpuMicroseconds() - cpuBefore;
        await sink.worker.terminate();
        const events = streams * load.events;
        return {
            eventsPerSecond: events / (report.milliseconds / 1000),
            cpuMicrosecondsPerEvent: cpu / events,
            completeStreams: report.complete,
        };
    });
}

function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
}

function readHeldBytes(): number {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

function measureHeldBytes(create: CreateForwarder): Promise<number> {
    const load: SourceLoad = { events: 100, eventsPerChunk: 1, intervalMs: 500 };
    return withForwarder(create, load, async port => {
        await delay(settleMs);
        const before = readHeldBytes();
        const sink = startWorker<SinkReport>("./sinkWorker.js", { port, streams: openStreams });
        await delay(holdMs);
        const held = (readHeldBytes() - before) / openStreams;
        await sink.worker.terminate();
        return held;
    });
}

function median(values: readonly number[]): number {
    return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

async function compare(
    name: string,
    streams: number,
    load: SourceLoad,
): Promise<Readonly<Record<string, string | number>>> {
    const core: ForwardFigures[] = [];
    const plain: ForwardFigures[] = [];
    for (let round = 0; round < rounds; round += 1) {
        core.push(await measure(createCoreForwarder, streams, load));
        plain.push(await measure(createPassThrough, streams, load));
    }
    const coreCpu = median(core.map(one => one.cpuMicrosecondsPerEvent));
    const plainCpu = median(plain.map(one => one.cpuMicrosecondsPerEvent));
    return {
        name,
        streams,
        coreEventsPerSecond: Math.round(median(core.map(one => one.eventsPerSecond))),
        plainEventsPerSecond: Math.round(median(plain.map(one => one.eventsPerSecond))),
        coreCpuMicroseconds: Number(coreCpu.toFixed(2)),
        plainCpuMicroseconds: Number(plainCpu.toFixed(2)),
        ratio: Number((coreCpu / plainCpu).toFixed(3)),
        brokenStreams: core.reduce((sum, one) => sum + streams - one.completeStreams, 0),
    };
}

/**
 * Runs the measurement.
 *
 * @param args - Flag `--streams N`: number of concurrent streams of the timed rows.
 */
export async function runForward(args: readonly string[]): Promise<void> {
    const { values } = parseArgs({ args: [...args], options: { streams: { type: "string", default: "300" } } });
    const streams = Number(values.streams);
    const heldBytes = Math.round(await measureHeldBytes(createCoreForwarder));
    const plainHeldBytes = Math.round(await measureHeldBytes(createPassThrough));
    const rows = [
        await compare("1 event a chunk, every 20 ms", streams, { events: 100, eventsPerChunk: 1, intervalMs: 20 }),
        await compare("8 events a chunk, every 20 ms", streams, { events: 800, eventsPerChunk: 8, intervalMs: 20 }),
        await compare("as fast as read", 50, { events: 4_000, eventsPerChunk: 8, intervalMs: 0 }),
    ];
    for (const row of rows) {
        process.stdout.write(`${Object.entries(row).map(([key, value]) => `${key} ${value}`).join("  ")}\n`);
    }
    process.stdout.write(`bytes a held stream: core ${heldBytes}, pass-through ${plainHeldBytes}\n`);
    process.stdout.write(`${JSON.stringify({ bench: "forward", rows, heldBytes, plainHeldBytes })}\n`);
}
