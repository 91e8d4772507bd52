/**
 * @module
 * Checks that the entries of a catalogue fit together.
 */
import type { CatalogueEntry } from "./catalogueEntry.js";

/** An entry that refers to what the catalogue does not hold. */
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
 * @param entries - The whole catalogue's entries.
 * @returns The problems; none when the entries fit together.
 * @example
 * checkReferences([upstreamOfAModelThatIsNotThere]).length; // 1
 */
export function checkReferences(entries: readonly CatalogueEntry[]): readonly ReferenceProblem[] {
    const keys = new Set(entries.map(entry => `${entry.kind}/${entry.id}`));
    return [...entries.flatMap(entry => checkUpstream(entry, keys)), ...findSharedAddresses(entries)];
}
