/**
 * @module
 * Checks the references between catalogue entries.
 */
import type { CatalogueEntry } from "./catalogueEntry.js";

/** An entry with a dangling reference or the address of another upstream. */
export interface ReferenceProblem {
    /** "kind/id" of the entry. */
    readonly key: string;
    readonly detail: string;
}

function checkUpstream(entry: CatalogueEntry, keys: ReadonlySet<string>): readonly ReferenceProblem[] {
    if (entry.kind !== "upstream") {
        return [];
    }
    const servedKind = entry.role === "engine" ? "model" : "service";
    return entry.serves.filter(id => !keys.has(`${servedKind}/${id}`))
        .map(id => ({
            key: `upstream/${entry.id}`,
            detail: `serves ${servedKind} "${id}", which is not in the catalogue`,
        }));
}

function findSharedAddresses(entries: readonly CatalogueEntry[]): readonly ReferenceProblem[] {
    const holders = new Map<string, string>();
    const problems: ReferenceProblem[] = [];
    for (const entry of entries) {
        if (entry.kind !== "upstream") {
            continue;
        }
        const holder = holders.get(entry.address);
        if (holder !== undefined) {
            problems.push({ key: `upstream/${entry.id}`, detail: `has the address of upstream "${holder}"` });
        }
        holders.set(entry.address, entry.id);
    }
    return problems;
}

/**
 * Checks all references between entries.
 *
 * @param entries - All entries of the catalogue.
 * @returns The problems; empty when the entries are consistent.
 * @example
 * checkReferences([upstreamOfUnknownModel]).length; // 1
 */
export function checkReferences(entries: readonly CatalogueEntry[]): readonly ReferenceProblem[] {
    const keys = new Set(entries.map(entry => `${entry.kind}/${entry.id}`));
    return [...entries.flatMap(entry => checkUpstream(entry, keys)), ...findSharedAddresses(entries)];
}
