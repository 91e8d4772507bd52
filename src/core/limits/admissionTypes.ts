/**
 * @module
 * Requests, verdicts and the interface of admission control.
 */
import type { Customer } from "../catalogue/catalogueEntry.js";
import type { Refusal } from "../errors/createRefusal.js";

/** The expected cost of a request. */
export interface RequestCost {
    readonly promptTokens: number;
    /** Upper bound of the generated tokens. */
    readonly outputTokens: number;
    /** Prompt tokens that are expected to miss every cache; undefined counts as all prompt tokens. */
    readonly recomputeTokens?: number;
}

/** A request for admission. */
export interface AdmissionRequest {
    readonly requestId: string;
    readonly customer: Customer;
    readonly cost: RequestCost;
    /** The request's deadline on the instance's clock, in milliseconds. */
    readonly deadlineMs: number;
}

/** The verdict on an admission request. */
export type AdmissionVerdict =
    | { readonly kind: "admitted"; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Admission control in front of upstream capacity. */
export interface Admission {
    /** Decides immediately or later; calls `decide` exactly once. */
    readonly admit: (req: AdmissionRequest, decide: (verdict: AdmissionVerdict) => void) => void;
    /** Cancels a waiting request; has no effect on a request that is already decided. */
    readonly cancel: (requestId: string) => void;
    /** Releases the slot of an admitted request and replaces its estimated cost by its actual use. */
    readonly complete: (requestId: string, used: RequestCost) => void;
}
