/**
 * @module
 * What an upstream says of itself in the platform's list.
 */

/** Weights of one model at an engine. */
export interface LoadedWeights {
    readonly model: string;
    readonly version: number;
}

/** One upstream's entry. */
export interface UpstreamRecord {
    readonly id: string;
    readonly service: string;
    /** "ip:port". */
    readonly address: string;
    readonly failureDomain: string;
    readonly isDraining: boolean;
    /** Requests that it runs at once. */
    readonly slots: number;
    /** Unix milliseconds of its start; a higher value under the same id is a new process. */
    readonly startedAtMs: number;
    /** Empty for a plain service. */
    readonly weights: readonly LoadedWeights[];
    /** Orders that it has accepted since its start. */
    readonly acceptedOrders: number;
}

/** A change of the list, in the list's order. */
export type UpstreamChange =
    | { readonly kind: "put"; readonly record: UpstreamRecord; }
    | { readonly kind: "removed"; readonly id: string; };
