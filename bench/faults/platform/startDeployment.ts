/**
 * @module
 * Starts what instances need beside themselves: the store in this process, upstreams and callers in processes of their own.
 */
import { type FakeStore, startFakeStore } from "../../../fakes/startFakeStore.js";
import type { InstanceProcess } from "./createInstanceProcess.js";
import { callerHost, callerKey, describeConfiguration, serviceNames } from "./describeConfiguration.js";
import { forkWorker, type Worker } from "./forkWorker.js";
import type { CallerWorkerOptions } from "./runCallerWorker.js";
import type { StartedUpstream, UpstreamWorkerOptions } from "./runUpstreamWorker.js";
import type { PipeliningTarget } from "./startPipelining.js";
import type { TimedUpstreamOptions } from "./startTimedUpstream.js";
import type { StopShape } from "./stopShapes.js";
import type { RequestRecord, RunRecord } from "./stopTypes.js";

/** A worker that runs callers. */
export type CallerWorker = Worker<undefined, readonly RequestRecord[]>;

/** A worker that runs upstreams. */
export type UpstreamWorker = Worker<readonly StartedUpstream[], readonly RunRecord[]>;

/** Instances whose callers or upstreams one process bears. */
const instancesPerWorker = 8;

/** Seeds of workers are apart by this. */
const workerSeedStep = 1_000;

/** Addresses of an instance that callers use. */
export type CalledInstance = Pick<InstanceProcess, "callerAddress" | "directoryAddress">;

/** Port of each instance's metrics. */
const metricsPort = 9_464;

function describeTarget({ callerAddress }: CalledInstance): PipeliningTarget {
    return { caller: callerAddress, metrics: `${callerAddress.split(":")[0]!}:${metricsPort}` };
}

type UpstreamOptions = Omit<TimedUpstreamOptions, "random" | "reportReplaced">;

/** How many processes the callers have, and how many the upstreams. */
function countWorkers(shape: StopShape): number {
    return Math.ceil(shape.instances / instancesPerWorker);
}

/** The names of a deployment's failure domains. */
export function nameFailureDomains(shape: StopShape): readonly string[] {
    return shape.failureDomains.map((_, index) => `domain-${index}`);
}

/** The name of the failure domain of each instance, in order. */
export function placeInstances(shape: StopShape): readonly string[] {
    const names = nameFailureDomains(shape);
    const places = shape.failureDomains.flatMap((count, index) => Array.from({ length: count }, () => names[index]!));
    return Array.from({ length: shape.instances }, (_, index) => places[index] ?? names.at(-1)!);
}

/** The names of a deployment's engines. */
export function nameEngines(shape: StopShape): readonly string[] {
    return Array.from({ length: shape.engines.count }, (_, index) => `${serviceNames.engines}-${index + 1}`);
}

/** The names of all upstreams of a deployment. */
export function nameUpstreams(shape: StopShape): readonly string[] {
    return listUpstreams(shape).map(upstream => upstream.id);
}

function listUpstreams(shape: StopShape): readonly UpstreamOptions[] {
    const domains = nameFailureDomains(shape);
    const parts = ["engines", "servers", ...(shape.changesLimits === true ? ["otherServers"] as const : [])] as const;
    return parts.flatMap(part => {
        const { count, slots, firstEvent, rejectsOrders, keepsClosedRuns } = part === "engines"
            ? shape.engines
            : shape.servers;
        return Array.from({ length: count }, (_, index) => ({
            id: `${serviceNames[part]}-${index + 1}`,
            service: serviceNames[part],
            failureDomain: domains[index % domains.length]!,
            slots,
            isEngine: part === "engines",
            brokenRunShare: shape.brokenRunShare,
            firstEvent,
            rejectsOrders: rejectsOrders ?? false,
            keepsClosedRuns: keepsClosedRuns ?? false,
        }));
    });
}

/** Starts the upstreams of a deployment. */
export function startUpstreams(shape: StopShape, seed: number): Promise<readonly UpstreamWorker[]> {
    const upstreams = listUpstreams(shape);
    const workers = countWorkers(shape);
    return Promise.all(
        Array.from(
            { length: workers },
            (_, worker) =>
                forkWorker<UpstreamWorkerOptions, readonly StartedUpstream[], readonly RunRecord[]>(
                    "./runUpstreamWorker.js",
                    {
                        upstreams: upstreams.filter((_, index) => index % workers === worker),
                        seed: seed + (worker + 1) * workerSeedStep,
                    },
                ),
        ),
    );
}

/**
 * Starts the callers of a deployment.
 *
 * @param shape - The deployment.
 * @param seed - Seed of the run.
 * @param instances - The instances.
 * @param hasOddHabits - Whether some callers send in pieces, read late, or do not wait for answers.
 * @returns The workers.
 */
export function startCallers(
    shape: StopShape,
    seed: number,
    instances: readonly CalledInstance[],
    hasOddHabits: boolean,
): Promise<readonly CallerWorker[]> {
    const workers = countWorkers(shape);
    const perWorker = Math.ceil(shape.callersPerInstance * shape.instances / workers);
    return Promise.all(
        Array.from(
            { length: workers },
            (_, worker) =>
                forkWorker<CallerWorkerOptions, undefined, readonly RequestRecord[]>("./runCallerWorker.js", {
                    directories: instances.map(instance => instance.directoryAddress),
                    pipelined: hasOddHabits ? instances.map(describeTarget) : [],
                    hasOddHabits,
                    firstCaller: worker * perWorker,
                    callers: perWorker,
                    calls: shape.calls,
                    pauseMs: shape.pauseMs,
                    failureDomains: nameFailureDomains(shape),
                    keepsEntries: shape.keepsEntries ?? false,
                    host: callerHost,
                    key: callerKey,
                    seed: seed + 1 + worker * workerSeedStep,
                }),
        ),
    );
}

/** Starts a store that holds the configuration and the upstreams. */
export async function startStore(
    shape: StopShape,
    upstreams: readonly UpstreamWorker[],
    statesEra: boolean,
): Promise<FakeStore> {
    const store = await startFakeStore();
    if (!statesEra) {
        store.setStatedEra(undefined);
    }
    store.put("keyed.op", "config", describeConfiguration(shape, 1));
    upstreams.flatMap(worker => worker.started).forEach(one => store.put("keyed.servers", one.id, one.entry));
    upstreams.forEach(worker =>
        worker.onReplaced(({ formerId, id, entry }) => {
            store.remove("keyed.servers", formerId);
            store.put("keyed.servers", id, entry);
        })
    );
    return store;
}
