/**
 * @module
 * Worker program: a part of the upstreams of a run.
 */
import { createRandom } from "./createRandom.js";
import { serveWorker } from "./serveWorker.js";
import { startTimedUpstream, type TimedUpstreamOptions } from "./startTimedUpstream.js";
import type { RunRecord } from "./stopTypes.js";

/** What the worker is started with. */
export interface UpstreamWorkerOptions {
    readonly upstreams: readonly Omit<TimedUpstreamOptions, "random">[];
    readonly seed: number;
}

/** Id and record in the store of an upstream that has started. */
export interface StartedUpstream {
    readonly id: string;
    readonly entry: unknown;
}

serveWorker<UpstreamWorkerOptions, readonly StartedUpstream[], readonly RunRecord[]>(async options => {
    const random = createRandom(options.seed);
    const upstreams = await Promise.all(options.upstreams.map(one => startTimedUpstream({ ...one, random })));
    return {
        started: upstreams.map(upstream => ({ id: upstream.id, entry: upstream.entry })),
        stop: () => {
            upstreams.forEach(upstream => upstream.stop());
            return Promise.resolve(upstreams.flatMap(upstream => upstream.runs));
        },
    };
});
