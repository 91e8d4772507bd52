/**
 * @module
 * The deterministic fold of one log record into the catalogue.
 */
import type { Catalogue, HeldEntry, ModelRollout } from "./catalogue.js";
import type { CatalogueChange, CatalogueEntry } from "./catalogueEntry.js";
import { foldOrder, foldOrderProgress } from "./foldOrder.js";
import type { ChangeVerdict, FoldResult } from "./foldVerdict.js";
import { parseRecord } from "./parseRecord.js";

/** Number of latest changes whose ids are retained, to detect repeated change ids. */
export const maxRetainedChanges = 1_024;

function findConflict(catalogue: Catalogue, change: CatalogueChange): { key: string; revision: number; } | undefined {
    for (const edit of change.edits) {
        const revision = catalogue.entries.get(edit.key)?.revision ?? 0;
        if (revision !== edit.basedOn) {
            return { key: edit.key, revision };
        }
    }
    return undefined;
}

/** Returns the rollout of a model; a change of its version starts one from the version that its upstreams serve. */
function findRollout(before: HeldEntry | undefined, entry: CatalogueEntry): ModelRollout | undefined {
    if (before === undefined || before.entry.kind !== "model" || entry.kind !== "model") {
        return undefined;
    }
    if (before.rollout !== undefined || before.entry.weightsVersion === entry.weightsVersion) {
        return before.rollout;
    }
    return { from: before.entry.weightsVersion, moved: {} };
}

function holdEntry(before: HeldEntry | undefined, entry: CatalogueEntry, revision: number): HeldEntry {
    const rollout = findRollout(before, entry);
    return rollout === undefined ? { entry, revision } : { entry, revision, rollout };
}

function applyEdits(catalogue: Catalogue, change: CatalogueChange, revision: number): ReadonlyMap<string, HeldEntry> {
    const entries = new Map(catalogue.entries);
    for (const edit of change.edits) {
        if (edit.entry === undefined) {
            entries.delete(edit.key);
        }
        else {
            entries.set(edit.key, holdEntry(entries.get(edit.key), edit.entry, revision));
        }
    }
    return entries;
}

function retainChange(changes: Catalogue["changes"], verdict: ChangeVerdict): Catalogue["changes"] {
    const retained = new Map(changes).set(verdict.changeId, verdict);
    for (const oldest of retained.keys()) {
        if (retained.size <= maxRetainedChanges) {
            break;
        }
        retained.delete(oldest);
    }
    return retained;
}

function foldChange(catalogue: Catalogue, change: CatalogueChange): FoldResult {
    const { changeId } = change;
    const first = catalogue.changes.get(changeId);
    if (first !== undefined) {
        return { catalogue, verdict: { kind: "repeated", changeId, first } };
    }
    const conflict = findConflict(catalogue, change);
    const verdict: ChangeVerdict = conflict === undefined
        ? { kind: "accepted", changeId, revision: catalogue.nextOffset, author: change.author }
        : { kind: "conflict", changeId, ...conflict };
    const entries = conflict === undefined
        ? applyEdits(catalogue, change, catalogue.nextOffset)
        : catalogue.entries;
    return { catalogue: { ...catalogue, entries, changes: retainChange(catalogue.changes, verdict) }, verdict };
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
    const advanced: Catalogue = { ...catalogue, nextOffset: offset + 1 };
    const record = parseRecord(payload);
    if (record.isErr) {
        return { catalogue: advanced, verdict: { kind: "malformed", detail: record.error } };
    }
    switch (record.value.kind) {
        case "change":
            return foldChange(advanced, record.value);
        case "order":
            return foldOrder(advanced, record.value);
        case "orderProgress":
            return foldOrderProgress(advanced, record.value);
    }
}
