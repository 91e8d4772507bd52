/**
 * @module
 * Plays one seeded series of stops, reloads and restarts of real processes, and checks what callers saw.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import type { FakeStore } from "../../../fakes/startFakeStore.js";
import { answerEndless } from "./answerEndless.js";
import { checkStops, type StopFindings } from "./checkStops.js";
import { createInstanceProcess, type InstanceProcess } from "./createInstanceProcess.js";
import { createLogPipes, type LogReader } from "./createLogPipes.js";
import { createRandom } from "./createRandom.js";
import { createTroubles, type TroubleOptions } from "./createTroubles.js";
import { describeConfiguration } from "./describeConfiguration.js";
import { processorPeriodMs } from "./limitProcessor.js";
import { type PlanOptions, playPlan } from "./playPlan.js";
import { readDeployArguments } from "./readDeployArguments.js";
import { readSharedClock } from "./readSharedClock.js";
import {
    nameEngines,
    nameUpstreams,
    placeInstances,
    startCallers,
    startStore,
    startUpstreams,
} from "./startDeployment.js";
import { servedModel } from "./startTimedUpstream.js";
import type { StopShape } from "./stopShapes.js";
import type { VersionRecord } from "./stopTypes.js";
import { watchEventLoop } from "./watchEventLoop.js";

/** Options of {@link playStops}. */
export interface PlayStopsOptions extends PlanOptions {
    readonly shape: StopShape;
    readonly seed: number;
    /** The program, run by Node.js. */
    readonly program: string;
    /** Processes that do nothing but use the processor. */
    readonly busyProcesses: number;
    /** Whether the store's answers state its era. */
    readonly statesEra: boolean;
    readonly troubles: TroubleOptions;
    /** Folder that exists, for the logs of the instances; undefined if they are not kept. */
    readonly logFolder?: string | undefined;
    /** Who reads the logs, in turn from process to process. */
    readonly logReaders: readonly LogReader[];
}

const warmUpMs = 4_000;
const settleMs = 3_000;
const readyTimeoutMs = 20_000;
const pollMs = 100;
const firstPort = 23_000;
const seedInstances = 3;

/** Seeds of the orders and of the troubles are apart by this. */
const troubleSeedOffset = 500_000;

const storeSeedOffset = 600_000;

/** Share of the store's calls that it answers without end while it has that trouble. */
const endlessStoreShare = 0.1;

/** Processes that are started at once at the beginning. */
const startedAtOnce = 12;

/** Time between two questions whether an instance is ready, in milliseconds for each instance. */
const watchMsPerInstance = 10;
const minWatchIntervalMs = 100;

async function waitReady(instances: readonly InstanceProcess[]): Promise<void> {
    const untilMs = readSharedClock() + readyTimeoutMs;
    for (const instance of instances) {
        while (!await instance.isReady() && readSharedClock() < untilMs) {
            await delay(pollMs);
        }
    }
}

async function startInBatches(instances: readonly InstanceProcess[]): Promise<void> {
    for (let first = 0; first < instances.length; first += startedAtOnce) {
        const batch = instances.slice(first, first + startedAtOnce);
        batch.forEach(instance => instance.start());
        await waitReady(batch);
    }
}

/** Lets the store answer some calls without end, for a time in milliseconds. */
function disturbStore(store: FakeStore, random: () => number, lastsMs: number): void {
    store.setSubstitute((req, lines) => {
        if (random() >= endlessStoreShare) {
            return false;
        }
        answerEndless(req, { random, mayBeginComplete: false, lines });
        return true;
    });
    setTimeout(() => store.setSubstitute(undefined), lastsMs).unref();
}

function startBusyProcess(): ChildProcess {
    return spawn(process.execPath, ["-e", "for (;;) { Math.sqrt(Math.random()); }"], { stdio: "ignore" });
}

function createInstances(
    options: PlayStopsOptions,
    folder: string,
    storeAddress: string,
    onOrder: () => void,
): readonly InstanceProcess[] {
    const { shape, program, logFolder, logReaders, seed } = options;
    // The network differs from run to run, so that runs beside each other do not meet.
    const network = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`;
    const ips = Array.from({ length: shape.instances }, (_, index) => `${network}.${10 + index}`);
    const domains = placeInstances(shape);
    return ips.map((ip, index) => {
        const name = `entry-${index}`;
        const place = {
            name,
            failureDomain: domains[index]!,
            ip,
            firstPort,
            seeds: ips.slice(0, seedInstances),
            storeAddress,
            ...(shape.settings === undefined ? {} : { limits: shape.settings }),
        };
        const command = [...shape.limits?.nodeArguments ?? readDeployArguments(), program];
        const logPath = logFolder === undefined ? undefined : join(logFolder, `${name}.log`);
        const share = shape.limits?.processorShare ?? 1;
        return createInstanceProcess(place, join(folder, `${name}.json`), command, {
            onOrder,
            processorLimit: share < 1 ? { share, phaseMs: index * processorPeriodMs / shape.instances } : undefined,
            bounds: shape.bounds,
            logPath,
            logPipes: {
                pipes: createLogPipes(folder, name, logPath),
                chooseReader: life => logReaders[(seed + index + life) % logReaders.length]!,
            },
            watchIntervalMs: Math.max(minWatchIntervalMs, shape.instances * watchMsPerInstance),
        });
    });
}

/** Plays a series of stops; every process that it starts has ended when it returns. */
export async function playStops(options: PlayStopsOptions): Promise<StopFindings> {
    const { shape, seed } = options;
    const readMaxLagMs = watchEventLoop();
    const folder = mkdtempSync(join(tmpdir(), "reedward-stops-"));
    const upstreams = await startUpstreams(shape, seed);
    const store = await startStore(shape, upstreams, options.statesEra);
    const versions: VersionRecord[] = [{ version: 1, namedMs: readSharedClock() }];
    const random = createRandom(seed);
    const nameVersion = () => {
        const version = versions.length + 1;
        store.put("keyed.op", `version/${servedModel}`, { model: servedModel, version });
        versions.push({ version, namedMs: readSharedClock() });
    };
    let configurationVersion = 1;
    const reconfigure = () => {
        configurationVersion += 1;
        store.put("keyed.op", "config", describeConfiguration(shape, configurationVersion));
    };
    const troubles = createTroubles(options.troubles, {
        engines: nameEngines(shape),
        upstreams: nameUpstreams(shape),
        random: createRandom(seed + troubleSeedOffset),
        disturb: trouble => upstreams.forEach(worker => worker.disturb(trouble)),
        disturbStore: lastsMs => disturbStore(store, createRandom(seed + storeSeedOffset), lastsMs),
        nameVersion,
        reconfigure,
    });
    const instances = createInstances(options, folder, store.address, troubles.follow);
    const busyProcesses = Array.from({ length: options.busyProcesses }, startBusyProcess);
    const killed: { readonly kill: () => void; }[] = [...upstreams];
    try {
        await startInBatches(instances);
        const callers = await startCallers(shape, seed, instances, options.troubles.kinds.includes("endless"));
        killed.push(...callers);
        await delay(warmUpMs);
        await playPlan({ instances, random, nameVersion, reconfigure }, options);
        await waitReady(instances);
        await delay(settleMs);
        const requests = await Promise.all(callers.map(worker => worker.stop()));
        const runs = await Promise.all(upstreams.map(worker => worker.stop()));
        const findings = checkStops(
            {
                requests: requests.flatMap(worker => worker.recorded),
                runs: runs.flatMap(worker => worker.recorded),
                lives: instances.flatMap(instance => instance.lives),
                versions,
                refusedWhileReady: instances.flatMap(instance => instance.refusedWhileReady),
                troubles: troubles.records,
            },
            shape.bounds,
            shape.limits?.memoryKb,
        );
        const maxLagMs = Math.max(readMaxLagMs(), ...[...requests, ...runs].map(worker => worker.maxLagMs));
        return { ...findings, counts: { ...findings.counts, maxLagMs } };
    }
    finally {
        troubles.stop();
        busyProcesses.forEach(child => child.kill("SIGKILL"));
        await Promise.all(instances.map(instance => instance.stop()));
        killed.forEach(worker => worker.kill());
        await store.stop();
        rmSync(folder, { recursive: true, force: true });
    }
}
