/**
 * @module
 * Measures the cost of folding changes, of listing upstreams and of snapshots at a given size.
 */
import { type Catalogue, emptyCatalogue, listEntries } from "../../src/core/catalogue/catalogue.js";
import type { CatalogueEntry } from "../../src/core/catalogue/catalogueEntry.js";
import { foldRecord } from "../../src/core/catalogue/foldRecord.js";
import { catalogueToSnapshot } from "../../src/core/catalogue/snapshot.js";
import { joinSnapshot, parseSnapshotPart, splitSnapshot } from "../../src/core/catalogue/snapshotParts.js";
import { createFleetEntries, createUpstream, type FleetSize } from "./createFleetEntries.js";

/** Costs that were measured at one size. */
export interface FoldCost {
    readonly entries: number;
    /** Processor time of one folded change, in microseconds. */
    readonly foldMicroseconds: number;
    /** Processor time of writing and reading one snapshot, in milliseconds. */
    readonly snapshotMilliseconds: number;
    readonly snapshotBytes: number;
    readonly snapshotRecords: number;
}

const maxEdits = 1_000;

function applyChange(catalogue: Catalogue, entries: readonly CatalogueEntry[]): Catalogue {
    const edits = entries.map(entry => {
        const key = `${entry.kind}/${entry.id}`;
        return { key, basedOn: catalogue.entries.get(key)?.revision ?? 0, entry };
    });
    const change = { kind: "change", changeId: `change-${catalogue.nextOffset}`, author: "bench", edits };
    const { catalogue: after, verdict } = foldRecord(catalogue, catalogue.nextOffset, JSON.stringify(change));
    if (verdict.kind !== "accepted") {
        throw new Error(JSON.stringify(verdict));
    }
    return after;
}

function createFilledCatalogue(size: FleetSize): Catalogue {
    const entries = createFleetEntries(size);
    let catalogue = emptyCatalogue;
    for (let start = 0; start < entries.length; start += maxEdits) {
        catalogue = applyChange(catalogue, entries.slice(start, start + maxEdits));
    }
    return catalogue;
}

/** Measures one size. */
export function measureFold(size: FleetSize, changes: number): FoldCost {
    let catalogue = createFilledCatalogue(size);
    const foldStartMs = performance.now();
    for (let change = 0; change < changes; change += 1) {
        const index = change % size.upstreams;
        catalogue = applyChange(catalogue, [createUpstream(index, size.models, change % 2 === 0)]);
        listEntries(catalogue, "upstream");
    }
    const foldMs = performance.now() - foldStartMs;
    const snapshotStartMs = performance.now();
    const records = splitSnapshot(catalogueToSnapshot(catalogue), "bench", 0);
    const joined = joinSnapshot(records.map(record => parseSnapshotPart(record)!));
    const snapshotMs = performance.now() - snapshotStartMs;
    if (joined.isErr) {
        throw new Error(joined.error);
    }
    return {
        entries: catalogue.entries.size,
        foldMicroseconds: foldMs * 1_000 / changes,
        snapshotMilliseconds: snapshotMs,
        snapshotBytes: records.reduce((sum, record) => sum + record.length, 0),
        snapshotRecords: records.length,
    };
}
