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
    readonly upstreams: readonly Omit<TimedUpstreamOptions, "random" | "reportReplaced">[];
    readonly seed: number;
}

/** Id and record in the store of an upstream that has started. */
export interface StartedUpstream {
    readonly id: string;
    readonly entry: unknown;
}

serveWorker<UpstreamWorkerOptions, readonly StartedUpstream[], readonly RunRecord[]>(
    async (options, reportReplaced) => {
        const random = createRandom(options.seed);
        const upstreams = await Promise.all(
            options.upstreams.map(one => startTimedUpstream({ ...one, random, reportReplaced })),
        );
        return {
            started: upstreams.map(upstream => ({ id: upstream.name, entry: upstream.entry })),
            disturb: trouble => {
                upstreams.filter(upstream => trouble.engines.includes(upstream.name)).forEach(upstream =>
                    upstream.disturb(trouble)
                );
            },
            stop: () => {
                upstreams.forEach(upstream => upstream.stop());
                return Promise.resolve(upstreams.flatMap(upstream => upstream.listRuns()));
            },
        };
    },
);
