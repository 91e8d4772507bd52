/**
 * @module
 * The entries that would result from a change.
 */
import type { Catalogue } from "./catalogue.js";
import type { CatalogueChange, CatalogueEntry } from "./catalogueEntry.js";

/**
 * Lists the entries of the catalogue as they would be after a change.
 *
 * @param catalogue - The catalogue before it.
 * @param edits - The edits of the change.
 * @returns The entries.
 * @example
 * checkReferences(mergeEdits(catalogue, change.edits));
 */
export function mergeEdits(catalogue: Catalogue, edits: CatalogueChange["edits"]): readonly CatalogueEntry[] {
    const entries = new Map([...catalogue.entries].map(([key, held]) => [key, held.entry]));
    for (const edit of edits) {
        if (edit.entry === undefined) {
            entries.delete(edit.key);
        }
        else {
            entries.set(edit.key, edit.entry);
        }
    }
    return [...entries.values()];
}
