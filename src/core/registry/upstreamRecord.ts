/**
 * @module
 * Record of an upstream in the platform's list, as the upstream registered it.
 */

/** Weights of one model that an engine has loaded. */
export interface LoadedWeights {
    readonly model: string;
    readonly version: number;
}

/** One upstream. */
export interface UpstreamRecord {
    readonly id: string;
    readonly service: string;
    /** "ip:port". */
    readonly address: string;
    readonly failureDomain: string;
    readonly isDraining: boolean;
    /** Maximum number of concurrent requests. */
    readonly slots: number;
    /** Time of the process start in Unix milliseconds; a higher value under the same id means a new process. */
    readonly startedAtMs: number;
    /** Empty for a plain service. */
    readonly weights: readonly LoadedWeights[];
    /** Number of orders accepted since its start. */
    readonly acceptedOrders: number;
}

/** A change of the list; changes are applied in the order of the list's log. */
export type UpstreamChange =
    | { readonly kind: "put"; readonly record: UpstreamRecord; }
    | { readonly kind: "removed"; readonly id: string; };
