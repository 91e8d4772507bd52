/**
 * @module
 * Messages between a run and its worker processes.
 */

/** What the run tells a worker. */
export type WorkerOrder<Options> =
    | { readonly type: "start"; readonly options: Options; }
    | { readonly type: "stop"; };

/** What a worker tells the run. */
export type WorkerReport<Started, Recorded> =
    | { readonly type: "started"; readonly started: Started; }
    | {
        readonly type: "stopped";
        readonly recorded: Recorded;
        /** Longest time for which the worker's event loop was held up, in milliseconds. */
        readonly maxLagMs: number;
    };
