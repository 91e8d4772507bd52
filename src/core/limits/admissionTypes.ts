/**
 * @module
 * What admission takes and gives.
 */
import type { Customer } from "../catalogue/catalogueEntry.js";
import type { Refusal } from "../errors/createRefusal.js";

/** The expected cost of a request. */
export interface RequestCost {
    readonly promptTokens: number;
    /** Upper bound of the tokens to be generated. */
    readonly outputTokens: number;
    /** Prompt tokens that no cache is expected to hold; all of them when not known. */
    readonly recomputeTokens?: number;
}

/** A request that asks to be admitted. */
export interface AdmissionRequest {
    readonly requestId: string;
    readonly customer: Customer;
    readonly cost: RequestCost;
    /** Time of the request's deadline on the instance's clock, in milliseconds. */
    readonly deadlineMs: number;
}

/** The verdict on an admission request. */
export type AdmissionVerdict =
    | { readonly kind: "admitted"; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Admission in front of upstream capacity. */
export interface Admission {
    /** Decides at once or later; calls `decide` exactly once. */
    readonly admit: (req: AdmissionRequest, decide: (verdict: AdmissionVerdict) => void) => void;
    /** Gives up a request that still waits; one that was decided already is left alone. */
    readonly cancel: (requestId: string) => void;
    /** Returns the slot of an admitted request and corrects its cost to what was really used. */
    readonly complete: (requestId: string, used: RequestCost) => void;
}
