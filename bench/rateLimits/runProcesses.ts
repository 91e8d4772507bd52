/**
 * @module
 * Plays rate limits over real processes on loopback, by hand:
 * `node dist/bench/rateLimits/runProcesses.js INSTANCES SECONDS REQUESTS_PER_SECOND LIMIT,LIMIT,...`. Each limit is one engine's, `-`
 * for none. Prints how many requests each engine got in 4 s at most from the stable window after its first statement.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { type FakeServer, startFakeServer } from "../../fakes/startFakeServer.js";
import { type FakeStore, startFakeStore } from "../../fakes/startFakeStore.js";
import { describePlatformSettings } from "../support/platformSettings.js";

/** Times of a run, in milliseconds. */
const warmUpMs = 4_000;
const limitAfterMs = 2_000;
const stableWindowMs = 3_000;
const windowMs = 4_000;
const pollIntervalMs = 10;

const millisecondsPerSecond = 1_000;
const firstPort = 21_000;
const slots = 8;

const route = {
    name: "letters",
    host: "letters.example",
    path_prefix: "/adapt/",
    kind: "stream",
    timeout_ms: 4_000,
    target_latency_ms: 400,
    service: "adapt",
    attempts: 2,
};

const configuration = {
    version: 3,
    routes: [route],
    services: [{
        name: "adapt",
        health_path: "/health",
        max_conns: 64,
        engine: { slots, kv_tokens: 100_000, max_inflight: 8, models: [{ name: "easy-read" }] },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 20_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "clinic", api_keys: ["key-clinic"], isolated: false }],
};

const addressOf = (index: number) => `127.0.1.${index + 1}`;

function describeSettings(index: number, instances: number, storeAddress: string): unknown {
    return describePlatformSettings({
        name: `entry-${index}`,
        failureDomain: "north",
        ip: addressOf(index),
        firstPort,
        seeds: Array.from({ length: Math.min(3, instances) }, (_, seed) => addressOf(seed)),
        storeAddress,
    });
}

function startInstance(index: number, instances: number, storeAddress: string, folder: string): ChildProcess {
    const path = join(folder, `entry-${index}.json`);
    writeFileSync(path, JSON.stringify(describeSettings(index, instances, storeAddress)));
    const env = { ...process.env, REEDWARD_NODE_FILE: path };
    return spawn(process.execPath, ["dist/platform/main.js"], { env, stdio: ["ignore", "ignore", "inherit"] });
}

/** Sends one request and returns its status; 0 when there was no answer. */
async function call(index: number, id: number): Promise<number> {
    const sharedPart = id % 20;
    try {
        const res = await request(`http://${addressOf(index)}:${firstPort}/adapt/${id}`, {
            method: "POST",
            headers: {
                host: route.host,
                "attempt-id": `attempt-${id}`,
                authorization: "Bearer key-clinic",
                model: "easy-read",
                "token-count": "600,20",
                "prompt-prefix": `aa:200,b${sharedPart}:200,c${id}:200`,
                "time-budget": "4000",
            },
            body: "letter",
            reset: true,
        });
        await res.body.dump();
        return res.statusCode;
    }
    catch {
        return 0;
    }
}

/** Notes when requests reach each engine. */
function watchArrivals(engines: readonly FakeServer[]): readonly number[][] {
    const arrivals: number[][] = engines.map(() => []);
    setInterval(() => {
        engines.forEach(({ runs }, index) => {
            while (arrivals[index]!.length < runs.length) {
                arrivals[index]!.push(performance.now());
            }
        });
    }, pollIntervalMs).unref();
    return arrivals;
}

function countMost(atMs: readonly number[]): number {
    return Math.max(
        0,
        ...atMs.map((fromMs, index) => atMs.slice(index).filter(one => one <= fromMs + windowMs).length),
    );
}

async function publish(store: FakeStore, engines: readonly FakeServer[]): Promise<void> {
    store.put("keyed.op", "config", configuration);
    engines.forEach(engine => store.put("keyed.servers", engine.id, engine.entry()));
    await delay(warmUpMs);
}

async function main(): Promise<void> {
    const [instanceText = "8", secondText = "20", rateText = "40", limitText = "2.3,0.8,-,-,-,-"] = process.argv.slice(
        2,
    );
    const [instances, seconds, requestsPerSecond] = [Number(instanceText), Number(secondText), Number(rateText)];
    const limits = limitText.split(",");
    const folder = mkdtempSync(join(tmpdir(), "reedward-limits-"));
    const store = await startFakeStore();
    const engines = await Promise.all(limits.map((_, index) => startFakeServer(`engine-${index}`, "adapt")));
    const children = Array.from(
        { length: instances },
        (_, index) => startInstance(index, instances, store.address, folder),
    );
    await publish(store, engines);
    const arrivals = watchArrivals(engines);
    const statuses = new Map<number, number>();
    const sends: Promise<void>[] = [];
    const startedMs = performance.now();
    let isLimited = false;
    for (let id = 0; performance.now() - startedMs < seconds * millisecondsPerSecond; id += 1) {
        if (!isLimited && performance.now() - startedMs > limitAfterMs) {
            isLimited = true;
            engines.forEach((engine, index) =>
                engine.setAnswerHeaders(limits[index] === "-" ? {} : { "server-limit": limits[index]! })
            );
        }
        const index = Math.floor(Math.random() * instances);
        sends.push(
            call(index, id).then(status => {
                statuses.set(status, (statuses.get(status) ?? 0) + 1);
            }),
        );
        await delay(-Math.log(1 - Math.random()) * millisecondsPerSecond / requestsPerSecond);
    }
    await Promise.all(sends);
    const fromMs = startedMs + limitAfterMs + stableWindowMs;
    engines.forEach((engine, index) => {
        const counted = arrivals[index]!.filter(atMs => atMs > fromMs);
        const limit = Number(limits[index]);
        const allowed = limits[index] === "-" ? "any" : (1.5 * 4 * limit + 5).toFixed(1);
        const perSecond = counted.length * millisecondsPerSecond / (performance.now() - fromMs);
        console.log(
            `${engine.id}: limit ${limits[index]}, ${perSecond.toFixed(2)} requests/s, ${
                countMost(counted)
            } in 4 s at most, `
                + `allowed ${allowed}`,
        );
    });
    console.log(`answers by status: ${JSON.stringify(Object.fromEntries(statuses))}`);
    children.forEach(child => child.kill("SIGKILL"));
    await Promise.all(engines.map(engine => engine.stop()));
    process.exit(0);
}

await main();
