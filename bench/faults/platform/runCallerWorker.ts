/**
 * @module
 * Worker program: a part of the callers of a run.
 */
import { createRandom } from "./createRandom.js";
import { serveWorker } from "./serveWorker.js";
import { startStopCallers, type StopCallersOptions } from "./startStopCallers.js";
import type { RequestRecord } from "./stopTypes.js";

/** What the worker is started with: a seed in place of the random numbers. */
export type CallerWorkerOptions = Omit<StopCallersOptions, "random"> & { readonly seed: number; };

serveWorker<CallerWorkerOptions, undefined, readonly RequestRecord[]>(({ seed, ...options }) => {
    const callers = startStopCallers({ ...options, random: createRandom(seed) });
    return Promise.resolve({
        started: undefined,
        stop: async () => {
            await callers.stop();
            return callers.requests;
        },
    });
});
