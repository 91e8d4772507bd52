/**
 * @module
 * The catalogue in force: the fold of all accepted changes up to a log offset.
 */
import type { CatalogueEntry, Customer, Model, Policy, Service, Upstream } from "./catalogueEntry.js";
import type { ChangeVerdict } from "./foldVerdict.js";
import type { AnnouncedLoad, HeldOrder } from "./orderRecord.js";

/** Weights versions that a model's upstreams serve during a rollout. */
export interface ModelRollout {
    /** Weights version of the upstreams that are not yet updated. */
    readonly from: string;
    /** Weights version of each updated upstream, by upstream id. */
    readonly moved: Readonly<Record<string, string>>;
}

/** An entry with the log offset of the change that wrote it. */
export interface HeldEntry {
    readonly entry: CatalogueEntry;
    /** Log offset plus 1 of the change that wrote the entry. */
    readonly revision: number;
    /** Present on a model until all its upstreams serve its weights version. */
    readonly rollout?: ModelRollout;
}

/** The catalogue in force. */
export interface Catalogue {
    /** Offset of the first log record that is not folded in yet. */
    readonly nextOffset: number;
    /** Entries by "kind/id". */
    readonly entries: ReadonlyMap<string, HeldEntry>;
    /** Verdicts on the latest changes by change id, oldest first. */
    readonly changes: ReadonlyMap<string, ChangeVerdict>;
    /** Operators' orders by id, oldest first, with the most recently ended ones. */
    readonly orders: ReadonlyMap<string, HeldOrder>;
    /** Announced loads by upstream. */
    readonly loads: ReadonlyMap<string, AnnouncedLoad>;
    /** Highest fencing number of a lease under which progress was recorded; -1 when there was none. */
    readonly fence: number;
}

/** The catalogue before any record. */
export const emptyCatalogue: Catalogue = {
    nextOffset: 0,
    entries: new Map(),
    changes: new Map(),
    orders: new Map(),
    loads: new Map(),
    fence: -1,
};

interface EntryOfKind {
    readonly customer: Customer;
    readonly model: Model;
    readonly upstream: Upstream;
    readonly service: Service;
    readonly policy: Policy;
}

/** Cache of the sorted lists by kind for each entry map, so that sorting runs once per change and not per request. */
const sortedLists = new WeakMap<ReadonlyMap<string, HeldEntry>, Map<string, readonly CatalogueEntry[]>>();

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

function sortEntries(entries: ReadonlyMap<string, HeldEntry>, kind: string): readonly CatalogueEntry[] {
    const found: CatalogueEntry[] = [];
    for (const held of entries.values()) {
        if (held.entry.kind === kind) {
            found.push(held.entry);
        }
    }
    return found.sort((left, right) => left.id < right.id ? -1 : 1);
}

/**
 * Lists the entries of one kind in the order of their ids.
 *
 * @param catalogue - The catalogue in force.
 * @param kind - Kind of the entries.
 * @returns The entries; the same list until the entries change.
 * @example
 * listEntries(catalogue, "upstream").length;
 */
export function listEntries<K extends keyof EntryOfKind>(catalogue: Catalogue, kind: K): readonly EntryOfKind[K][] {
    const lists = sortedLists.get(catalogue.entries) ?? new Map<string, readonly CatalogueEntry[]>();
    sortedLists.set(catalogue.entries, lists);
    const list = lists.get(kind) ?? sortEntries(catalogue.entries, kind);
    lists.set(kind, list);
    return list as readonly EntryOfKind[K][];
}
