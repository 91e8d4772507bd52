/**
 * @module
 * Troubles of upstreams and changes by the operator that meet instances while they stop.
 */

/**
 * What happens to engines, or what the operator does.
 *
 * - `still`: engines write nothing on any connection for a while, and go on.
 * - `restart`: engines drop all connections and come back under a new id, at the same address or another one.
 * - `reject`: engines answer requests for runs with 503 and state that they did not run them.
 * - `break`: engines break off a part of their runs.
 * - `slow`: the first events of engines come late.
 * - `endless`: an engine or another upstream answers requests for runs, and in some cases other calls, with bytes that never
 *   end; in some cases the store answers a part of its calls so. Runs with this trouble have callers that upload in pieces,
 *   read late, and send many requests on a connection without waiting for answers.
 * - `rejectOrders`: engines reject orders, so that they keep their weights.
 * - `load`: the operator names the next version of the weights.
 * - `reconfigure`: the operator changes timeouts and adds a route.
 */
export type TroubleKind =
    | "still"
    | "restart"
    | "reject"
    | "break"
    | "slow"
    | "endless"
    | "rejectOrders"
    | "load"
    | "reconfigure";

/** Every trouble. */
export const troubleKinds: readonly TroubleKind[] = [
    "still",
    "restart",
    "reject",
    "break",
    "slow",
    "endless",
    "rejectOrders",
    "load",
    "reconfigure",
];

/** A trouble that upstreams themselves have. */
export interface EngineTrouble {
    readonly kind: Exclude<TroubleKind, "load" | "reconfigure">;
    /** Names of the engines, which they keep when they restart; of other upstreams, too, for `endless`. */
    readonly engines: readonly string[];
    /** How long it lasts, in milliseconds. */
    readonly lastsMs: number;
    /** Whether an engine that restarts comes back at its address. */
    readonly keepsAddress: boolean;
}

/** A trouble of a run, in milliseconds of the machine's monotonic clock. */
export interface TroubleRecord {
    readonly kind: TroubleKind;
    readonly engines: number;
    readonly beganMs: number;
    readonly endMs: number;
}
