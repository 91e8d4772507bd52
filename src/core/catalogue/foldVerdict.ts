/**
 * @module
 * Verdicts of the fold on records of the catalogue's stream.
 */
import type { Catalogue } from "./catalogue.js";

/** Verdict on a well-formed change. */
export type ChangeVerdict =
    | {
        readonly kind: "accepted";
        readonly changeId: string;
        /** Log offset plus 1 of the change. */
        readonly revision: number;
        readonly author: string;
    }
    | {
        readonly kind: "conflict";
        readonly changeId: string;
        /** "kind/id" of the first entry that a concurrent change has modified. */
        readonly key: string;
        /** Revision of that entry; 0 when it was removed. */
        readonly revision: number;
    };

/** Verdict on any record. */
export type FoldVerdict =
    | ChangeVerdict
    | { readonly kind: "repeated"; readonly changeId: string; readonly first: ChangeVerdict; }
    | { readonly kind: "order"; readonly orderId: string; readonly isTaken: boolean; }
    | { readonly kind: "progress"; readonly fencingNumber: number; readonly isTaken: boolean; }
    | { readonly kind: "malformed"; readonly detail: string; }
    | { readonly kind: "alreadyFolded"; };

/** The catalogue after a record, and the verdict on the record. */
export interface FoldResult {
    readonly catalogue: Catalogue;
    readonly verdict: FoldVerdict;
}
