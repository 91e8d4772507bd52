/**
 * @module
 * Differences between the entries that an operator wants and the catalogue in force.
 */
import type { Catalogue } from "./catalogue.js";
import type { CatalogueEntry } from "./catalogueEntry.js";

/** One field that differs. */
export interface FieldDifference {
    readonly field: string;
    readonly inForce: unknown;
    readonly wanted: unknown;
}

/** One entry that differs. */
export interface EntryDifference {
    /** "kind/id" of the entry. */
    readonly key: string;
    readonly action: "add" | "change" | "remove";
    /** Revision of the entry in force; 0 when there is none. */
    readonly revision: number;
    readonly fields: readonly FieldDifference[];
    /** The wanted entry; undefined when it is removed. */
    readonly entry: CatalogueEntry | undefined;
}

/** Options of {@link diffEntries}. */
export interface DiffEntriesOptions {
    /** Whether entries in force that are not wanted are removed. */
    readonly isPruning: boolean;
}

type Fields = Readonly<Record<string, unknown>>;

function diffFields(inForce: CatalogueEntry | undefined, wanted: CatalogueEntry): readonly FieldDifference[] {
    const before: Fields = { ...inForce };
    const after: Fields = { ...wanted };
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return names.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
        .map(field => ({ field, inForce: before[field], wanted: after[field] }));
}

function diffEntry(catalogue: Catalogue, entry: CatalogueEntry): EntryDifference {
    const key = `${entry.kind}/${entry.id}`;
    const held = catalogue.entries.get(key);
    const fields = diffFields(held?.entry, entry);
    return { key, action: held === undefined ? "add" : "change", revision: held?.revision ?? 0, fields, entry };
}

/**
 * Lists the entries that differ.
 *
 * @param catalogue - The catalogue in force.
 * @param wanted - The wanted entries.
 * @param options - Whether entries that are not wanted are removed.
 * @returns The entries that differ; none when the catalogue is as wanted.
 * @example
 * diffEntries(catalogue, entries, { isPruning: false }).length;
 */
export function diffEntries(
    catalogue: Catalogue,
    wanted: readonly CatalogueEntry[],
    options: DiffEntriesOptions,
): readonly EntryDifference[] {
    const differing = wanted.map(entry => diffEntry(catalogue, entry)).filter(one => one.fields.length > 0);
    if (!options.isPruning) {
        return differing;
    }
    const keys = new Set(wanted.map(entry => `${entry.kind}/${entry.id}`));
    const removed = [...catalogue.entries].filter(([key]) => !keys.has(key)).map(([key, held]): EntryDifference => ({
        key,
        action: "remove",
        revision: held.revision,
        fields: [],
        entry: undefined,
    }));
    return [...differing, ...removed];
}
