/**
 * @module
 * What became of a record of the catalogue's stream.
 */

/** Verdict on a well-formed change. */
export type ChangeVerdict =
    | { readonly kind: "accepted"; readonly changeId: string; }
    | {
        readonly kind: "conflict";
        readonly changeId: string;
        /** "kind/id" of the first entry that was changed meanwhile. */
        readonly key: string;
        /** Revision of that entry; 0 when it was removed. */
        readonly revision: number;
    };

/** Verdict on any record. */
export type FoldVerdict =
    | ChangeVerdict
    | { readonly kind: "repeated"; readonly changeId: string; readonly first: ChangeVerdict; }
    | { readonly kind: "progress"; readonly model: string; readonly isTaken: boolean; }
    | { readonly kind: "malformed"; readonly detail: string; }
    | { readonly kind: "alreadyFolded"; };
