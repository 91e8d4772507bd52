/**
 * @module
 * Messages between a run and its worker processes.
 */
import type { EngineTrouble } from "./troubleTypes.js";

/** What the run tells a worker. */
export type WorkerOrder<Options> =
    | { readonly type: "start"; readonly options: Options; }
    | { readonly type: "disturb"; readonly trouble: EngineTrouble; }
    | { readonly type: "stop"; };

/** An upstream that has come back under a new id. */
export interface ReplacedUpstream {
    readonly formerId: string;
    readonly id: string;
    /** Its record in the store. */
    readonly entry: unknown;
}

/** What a worker tells the run. */
export type WorkerReport<Started, Recorded> =
    | { readonly type: "started"; readonly started: Started; }
    | { readonly type: "replaced"; readonly upstream: ReplacedUpstream; }
    | {
        readonly type: "stopped";
        readonly recorded: Recorded;
        /** Longest time for which the worker's event loop was held up, in milliseconds. */
        readonly maxLagMs: number;
    };
