/**
 * @module
 * Worker program: a part of the callers of a run.
 */
import { createRandom } from "./createRandom.js";
import { serveWorker } from "./serveWorker.js";
import { type PipeliningTarget, startPipelining } from "./startPipelining.js";
import { startStopCallers, type StopCallersOptions } from "./startStopCallers.js";
import type { RequestRecord } from "./stopTypes.js";

/** What the worker is started with: a seed in place of the random numbers. */
export interface CallerWorkerOptions extends Omit<StopCallersOptions, "random"> {
    readonly seed: number;
    /** Instances that get many requests on a connection; none if empty. */
    readonly pipelined: readonly PipeliningTarget[];
}

/** Seeds of the two kinds of callers are apart by this. */
const pipeliningSeedOffset = 250_000;

serveWorker<CallerWorkerOptions, undefined, readonly RequestRecord[]>(({ seed, pipelined, ...options }) => {
    const callers = startStopCallers({ ...options, random: createRandom(seed) });
    const plainCall = options.calls.find(call => call.kind !== "stream");
    const pipelining = pipelined.length === 0 ? undefined : startPipelining({
        targets: pipelined,
        host: options.host,
        key: options.key,
        path: `/${plainCall?.name ?? ""}/`,
        random: createRandom(seed + pipeliningSeedOffset),
    });
    return Promise.resolve({
        started: undefined,
        stop: async () => {
            await Promise.all([callers.stop(), pipelining?.stop()]);
            return callers.requests;
        },
    });
});
