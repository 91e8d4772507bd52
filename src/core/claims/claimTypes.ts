/**
 * @module
 * Claims on idempotency keys of calls that may run at most once.
 */
import type { CompleteAnswer } from "../effects/effectTypes.js";

/** A key that a call asks to claim. */
export interface ClaimRequest {
    /** Customer, service and idempotency key as one text. */
    readonly key: string;
    /** Hash of method, path and body; a retry must have the same one. */
    readonly fingerprint: string;
    /** Time at which the caller issued the key, in milliseconds since the Unix epoch. */
    readonly issuedMs: number;
    /** Deadline of the call on the instance's clock, in milliseconds. */
    readonly deadlineMs: number;
}

/** How a claimed call ended. */
export type ClaimEnd =
    | { readonly kind: "answered"; readonly answer: CompleteAnswer | undefined; }
    | { readonly kind: "unknown"; };

/** The claim that holds a key. */
export interface HeldClaim {
    readonly claimId: string;
    readonly fingerprint: string;
    readonly issuedMs: number;
    /** Undefined while the call has not ended. */
    readonly end: ClaimEnd | undefined;
}

/** The verdict on a claim. */
export type ClaimVerdict =
    /** Only the caller that receives this verdict may send the call. */
    | { readonly kind: "won"; readonly claimId: string; }
    | { readonly kind: "ended"; readonly end: ClaimEnd; }
    /** Another claim holds the key and its call has not ended. */
    | { readonly kind: "running"; }
    | { readonly kind: "keyReused"; }
    /** The key was issued before the oldest claim that is still known. */
    | { readonly kind: "keyExpired"; }
    | { readonly kind: "unavailable"; readonly detail: string; };

/** How a holder ends its claim; `notRun` frees the key for another claim. */
export type ClaimConclusion = ClaimEnd | { readonly kind: "notRun"; };
