/**
 * @module
 * The deterministic fold of one log record into the catalogue.
 */
import { type Catalogue, type HeldEntry } from "./catalogue.js";
import { type CatalogueChange, catalogueChangeSchema } from "./catalogueEntry.js";

/** What became of a record. */
export type FoldVerdict =
    | { readonly kind: "accepted"; readonly changeId: string; }
    | { readonly kind: "conflict"; readonly changeId: string; readonly key: string; readonly revision: number; }
    | { readonly kind: "malformed"; readonly detail: string; }
    | { readonly kind: "alreadyFolded"; };

/** The catalogue after a record, and what became of the record. */
export interface FoldResult {
    readonly catalogue: Catalogue;
    readonly verdict: FoldVerdict;
}

function findConflict(catalogue: Catalogue, change: CatalogueChange): { key: string; revision: number; } | undefined {
    for (const edit of change.edits) {
        const revision = catalogue.entries.get(edit.key)?.revision ?? 0;
        if (revision !== edit.basedOn) {
            return { key: edit.key, revision };
        }
    }
    return undefined;
}

function findKeyMismatch(change: CatalogueChange): string | undefined {
    const edit = change.edits.find(one => one.entry !== undefined && one.key !== `${one.entry.kind}/${one.entry.id}`);
    return edit?.key;
}

function parseChange(payload: string): CatalogueChange | string {
    let value: unknown;
    try {
        value = JSON.parse(payload);
    }
    catch {
        return "the record is not JSON";
    }
    const parsed = catalogueChangeSchema.safeParse(value);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        return `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`;
    }
    const mismatch = findKeyMismatch(parsed.data);
    return mismatch === undefined ? parsed.data : `edit ${mismatch} holds an entry with another key`;
}

function applyEdits(catalogue: Catalogue, change: CatalogueChange, revision: number): ReadonlyMap<string, HeldEntry> {
    const entries = new Map(catalogue.entries);
    for (const edit of change.edits) {
        if (edit.entry === undefined) {
            entries.delete(edit.key);
        }
        else {
            entries.set(edit.key, { entry: edit.entry, revision });
        }
    }
    return entries;
}

/**
 * Folds one record. Every instance that folds the same records in log order holds the same catalogue.
 *
 * @param catalogue - The catalogue before the record.
 * @param offset - Log offset of the record; an offset below `nextOffset` changes nothing.
 * @param payload - The record as JSON text.
 * @returns The catalogue after the record and the verdict on it.
 * @example
 * foldRecord(emptyCatalogue, 0, payload).verdict.kind; // "accepted"
 */
export function foldRecord(catalogue: Catalogue, offset: number, payload: string): FoldResult {
    if (offset < catalogue.nextOffset) {
        return { catalogue, verdict: { kind: "alreadyFolded" } };
    }
    const passed: Catalogue = { ...catalogue, nextOffset: offset + 1 };
    const change = parseChange(payload);
    if (typeof change === "string") {
        return { catalogue: passed, verdict: { kind: "malformed", detail: change } };
    }
    const conflict = findConflict(catalogue, change);
    if (conflict !== undefined) {
        return { catalogue: passed, verdict: { kind: "conflict", changeId: change.changeId, ...conflict } };
    }
    const entries = applyEdits(catalogue, change, offset + 1);
    return { catalogue: { ...passed, entries }, verdict: { kind: "accepted", changeId: change.changeId } };
}
