/**
 * @module
 * The catalogue in force: the fold of all accepted changes up to a log offset.
 */
import type { CatalogueEntry, Customer, Model, Policy, Service, Upstream } from "./catalogueEntry.js";

/** An entry with the log offset of the change that wrote it. */
export interface HeldEntry {
    readonly entry: CatalogueEntry;
    /** Log offset plus 1 of the change that wrote the entry. */
    readonly revision: number;
}

/** The catalogue in force. */
export interface Catalogue {
    /** Offset of the first log record that is not folded in yet. */
    readonly nextOffset: number;
    /** Held entries by "kind/id". */
    readonly entries: ReadonlyMap<string, HeldEntry>;
}

/** The catalogue before any record. */
export const emptyCatalogue: Catalogue = { nextOffset: 0, entries: new Map() };

interface EntryOfKind {
    readonly customer: Customer;
    readonly model: Model;
    readonly upstream: Upstream;
    readonly service: Service;
    readonly policy: Policy;
}

/**
 * Finds one entry.
 *
 * @param catalogue - The catalogue in force.
 * @param kind - Kind of the entry.
 * @param id - Id of the entry.
 * @returns The entry, or undefined when the catalogue has none.
 * @example
 * findEntry(catalogue, "model", "easy-read")?.weightsVersion;
 */
export function findEntry<K extends keyof EntryOfKind>(
    catalogue: Catalogue,
    kind: K,
    id: string,
): EntryOfKind[K] | undefined {
    return catalogue.entries.get(`${kind}/${id}`)?.entry as EntryOfKind[K] | undefined;
}

/**
 * Lists the entries of one kind in the order of their ids.
 *
 * @param catalogue - The catalogue in force.
 * @param kind - Kind of the entries.
 * @returns The entries.
 * @example
 * listEntries(catalogue, "upstream").length;
 */
export function listEntries<K extends keyof EntryOfKind>(catalogue: Catalogue, kind: K): readonly EntryOfKind[K][] {
    const found: EntryOfKind[K][] = [];
    for (const held of catalogue.entries.values()) {
        if (held.entry.kind === kind) {
            found.push(held.entry as EntryOfKind[K]);
        }
    }
    return found.sort((left, right) => left.id < right.id ? -1 : 1);
}
