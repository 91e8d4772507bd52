/**
 * @module
 * Plays one seeded series of stops, reloads and restarts of real processes, and checks what callers saw.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { startFakeStore } from "../../../fakes/startFakeStore.js";
import { checkStops, type StopFindings } from "./checkStops.js";
import { createInstanceProcess, type InstanceProcess } from "./createInstanceProcess.js";
import { startStopCallers } from "./startStopCallers.js";
import { servedModel, startTimedUpstream } from "./startTimedUpstream.js";
import type { VersionRecord } from "./stopTypes.js";

/**
 * How instances are stopped.
 *
 * - `turn`: one after the other, with a pause between the orders.
 * - `together`: all at once.
 * - `alone`: one of them.
 * - `mixed`: at random, overlapping, with reloads, also of processes that start, restarts on addresses that are still in use,
 *   and new versions of the weights.
 */
export type StopPlan = "turn" | "together" | "alone" | "mixed";

/** Every plan. */
export const stopPlans: readonly StopPlan[] = ["turn", "together", "alone", "mixed"];

/** Options of {@link playStops}. */
export interface PlayStopsOptions {
    readonly plan: StopPlan;
    readonly seed: number;
    readonly instances: number;
    /** Pause between two orders to stop, in milliseconds. */
    readonly gapMs: number;
    /** Length of the series in the plan `mixed`, in seconds. */
    readonly seconds: number;
    /** The program, run by Node.js. */
    readonly program: string;
    /** Processes that do nothing but use the processor. */
    readonly busyProcesses: number;
    /** Folder that exists, for the logs of the instances; undefined if they are not kept. */
    readonly logFolder?: string | undefined;
}

interface Fleet {
    readonly instances: readonly InstanceProcess[];
    readonly random: () => number;
    /** Names the next version of the weights. */
    readonly nameVersion: () => void;
}

const callersPerInstance = 12;
const host = "letters.example";
const key = "key-clinic";
const restartDelayMs = 500;
const warmUpMs = 4_000;
const settleMs = 3_000;
const readyTimeoutMs = 20_000;
const pollMs = 100;
const millisecondsPerSecond = 1_000;

/** Time from the start of a process at which signals meet it while it loads, in milliseconds. */
const receivesSignalsMs = 150;

function describeRoute(name: string, pathPrefix: string, kind: string, service: string): unknown {
    return {
        name,
        host,
        path_prefix: pathPrefix,
        kind,
        timeout_ms: kind === "stream" ? 15_000 : 4_000,
        target_latency_ms: 400,
        gap_aim_ms: 300,
        service,
        attempts: 2,
        priority: 0,
    };
}

const plainService = { name: "portal", health_path: "/health", max_conns: 400, slots: 64 };

const configuration = {
    version: 1,
    routes: [
        describeRoute("adapt", "/adapt/", "stream", "adapt"),
        describeRoute("documents", "/documents/", "non_idempotent", "portal"),
        describeRoute("glossary", "/glossary/", "idempotent", "portal"),
    ],
    services: [
        {
            name: "adapt",
            health_path: "/health",
            max_conns: 400,
            engine: { slots: 64, kv_tokens: 1_000_000, max_inflight: 16, models: [{ name: servedModel }] },
        },
        plainService,
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 20_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "clinic", api_keys: [key], isolated: false }],
};

function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, 0x3fffffff) / 0x40000000;
}

async function stopAndRestart(instance: InstanceProcess): Promise<void> {
    instance.signal("SIGTERM");
    await instance.ended();
    await delay(restartDelayMs);
    instance.start();
}

/** A successor that is started while the process before it still holds its addresses. */
async function restartOverlapping(instance: InstanceProcess, random: () => number): Promise<void> {
    instance.signal("SIGTERM");
    await delay(random() * 6_000);
    instance.start();
    await delay(receivesSignalsMs + random() * 500);
    instance.signal("SIGHUP");
}

async function reloadWhileStarting(instance: InstanceProcess, random: () => number): Promise<void> {
    await stopAndRestart(instance);
    for (let count = 0; count < 3; count += 1) {
        await delay(receivesSignalsMs + random() * 150);
        instance.signal("SIGHUP");
    }
}

/** A process that is told to stop again before it is ready. */
async function stopWhileStarting(instance: InstanceProcess, random: () => number): Promise<void> {
    await stopAndRestart(instance);
    await delay(receivesSignalsMs + random() * 400);
    instance.signal("SIGTERM");
    instance.signal("SIGHUP");
    await instance.ended();
    instance.start();
}

async function reload(instance: InstanceProcess): Promise<void> {
    instance.signal("SIGHUP");
    await delay(receivesSignalsMs);
    instance.signal("SIGHUP");
}

async function playMixed({ instances, random, nameVersion }: Fleet, options: PlayStopsOptions): Promise<void> {
    const actions = [
        stopAndRestart,
        stopAndRestart,
        restartOverlapping,
        reloadWhileStarting,
        stopWhileStarting,
        reload,
    ];
    const busy = new Set<InstanceProcess>();
    const running: Promise<void>[] = [];
    const untilMs = performance.now() + options.seconds * millisecondsPerSecond;
    while (performance.now() < untilMs) {
        const instance = instances[Math.floor(random() * instances.length)]!;
        const action = actions[Math.floor(random() * actions.length)]!;
        if (random() < 0.1) {
            nameVersion();
        }
        if (!busy.has(instance)) {
            busy.add(instance);
            running.push(action(instance, random).finally(() => busy.delete(instance)));
        }
        else {
            // A second signal meets a process that already leaves or starts.
            await reload(instance);
        }
        await delay(options.gapMs * (0.5 + random()));
    }
    await Promise.all(running);
}

async function playPlan(fleet: Fleet, options: PlayStopsOptions): Promise<void> {
    const { instances } = fleet;
    switch (options.plan) {
        case "turn": {
            const stops: Promise<void>[] = [];
            for (const instance of instances) {
                stops.push(stopAndRestart(instance));
                await delay(options.gapMs);
            }
            await Promise.all(stops);
            return;
        }
        case "together":
            await Promise.all(instances.map(stopAndRestart));
            return;
        case "alone":
            await stopAndRestart(instances[0]!);
            return;
        default:
            await playMixed(fleet, options);
    }
}

async function waitReady(instances: readonly InstanceProcess[]): Promise<void> {
    const untilMs = performance.now() + readyTimeoutMs;
    for (const instance of instances) {
        while (!await instance.isReady() && performance.now() < untilMs) {
            await delay(pollMs);
        }
    }
}

function startBusyProcess(): ChildProcess {
    return spawn(process.execPath, ["-e", "for (;;) { Math.sqrt(Math.random()); }"], { stdio: "ignore" });
}

/** Plays a series of stops; every process that it starts has ended when it returns. */
export async function playStops(options: PlayStopsOptions): Promise<StopFindings> {
    const random = createRandom(options.seed);
    const folder = mkdtempSync(join(tmpdir(), "reedward-stops-"));
    const store = await startFakeStore();
    const names = ["adapt-1", "adapt-2", "adapt-3", "portal-1", "portal-2"];
    const upstreams = await Promise.all(names.map(name => {
        const service = name.split("-")[0]!;
        return startTimedUpstream(name, service, service === "adapt");
    }));
    const versions: VersionRecord[] = [{ version: 1, namedMs: performance.now() }];
    store.put("keyed.op", "config", configuration);
    upstreams.forEach(upstream => store.put("keyed.servers", upstream.id, upstream.entry()));
    // The network differs from run to run, so that runs beside each other do not meet.
    const network = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`;
    const ips = Array.from({ length: options.instances }, (_, index) => `${network}.${10 + index}`);
    const instances = ips.map((ip, index) => {
        const place = {
            name: `entry-${index}`,
            failureDomain: index % 2 === 0 ? "north" : "south",
            ip,
            firstPort: 23_000,
            seeds: ips.slice(0, 3),
            storeAddress: store.address,
        };
        const logPath = options.logFolder === undefined ? undefined : join(options.logFolder, `entry-${index}.log`);
        return createInstanceProcess(place, join(folder, `entry-${index}.json`), [options.program], logPath);
    });
    const busyProcesses = Array.from({ length: options.busyProcesses }, startBusyProcess);
    try {
        instances.forEach(instance => instance.start());
        await waitReady(instances);
        const callers = startStopCallers({
            directories: instances.map(instance => instance.directoryAddress),
            callers: callersPerInstance * options.instances,
            host,
            key,
            random: createRandom(options.seed + 1),
        });
        await delay(warmUpMs);
        await playPlan({
            instances,
            random,
            nameVersion: () => {
                const version = versions.length + 1;
                store.put("keyed.op", `version/${servedModel}`, { model: servedModel, version });
                versions.push({ version, namedMs: performance.now() });
            },
        }, options);
        await waitReady(instances);
        await delay(settleMs);
        await callers.stop();
        return checkStops({
            requests: callers.requests,
            runs: upstreams.flatMap(upstream => upstream.runs),
            lives: instances.flatMap(instance => instance.lives),
            versions,
            refusedWhileReady: instances.flatMap(instance => instance.refusedWhileReady),
        });
    }
    finally {
        busyProcesses.forEach(child => child.kill("SIGKILL"));
        await Promise.all(instances.map(instance => instance.stop()));
        upstreams.forEach(upstream => upstream.stop());
        await store.stop();
        rmSync(folder, { recursive: true, force: true });
    }
}
