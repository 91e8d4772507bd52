/**
 * @module
 * Costs of the catalogue's fold.
 */
import { type Catalogue, emptyCatalogue, listEntries } from "../../../src/core/catalogue/catalogue.js";
import type { CatalogueEntry } from "../../../src/core/catalogue/catalogueEntry.js";
import { foldRecord } from "../../../src/core/catalogue/foldRecord.js";
import { catalogueToSnapshot } from "../../../src/core/catalogue/snapshot.js";
import { measureBytes, measureCpuMicroseconds } from "../../_lib/measureCost.js";
import { changesPerSecond, requestsPerDaemon, type SlopeCase, twoYears } from "../slopeCase.js";

const entryCounts = [250, 1_000, 2_000, 4_000] as const;
const twoYearEntries = twoYears.upstreams + twoYears.customers + twoYears.models;
const editsPerRecord = 500;

function createUpstream(index: number): CatalogueEntry {
    return {
        kind: "upstream",
        id: `engine-${index}`,
        owner: "operations",
        address: `10.${(index >> 16) & 255}.${(index >> 8) & 255}.${index & 255}:8000`,
        failureDomain: `domain-${index % 7}`,
        role: "engine",
        serves: [`model-${index % twoYears.models}`],
        fencesOrders: false,
        slots: 64,
        prefillTokensPerSecond: 50_000,
        leaving: false,
    };
}

function createRecord(from: number, to: number, basedOn: number): string {
    const edits = Array.from({ length: to - from }, (_, index) => {
        const entry = createUpstream(from + index);
        return { key: `${entry.kind}/${entry.id}`, basedOn, entry };
    });
    return JSON.stringify({ kind: "change", changeId: `change-${from}-${basedOn}`, author: "bench", edits });
}

/** Creates a catalogue of upstreams. */
export function createCatalogueOf(count: number): Catalogue {
    let catalogue = emptyCatalogue;
    for (let from = 0; from < count; from += editsPerRecord) {
        const record = createRecord(from, Math.min(count, from + editsPerRecord), 0);
        catalogue = foldRecord(catalogue, catalogue.nextOffset, record).catalogue;
    }
    if (catalogue.entries.size !== count) {
        throw new Error(`the catalogue holds ${catalogue.entries.size} entries, expected ${count}`);
    }
    return catalogue;
}

function measureFold(count: number): number {
    const catalogue = createCatalogueOf(count);
    const record = createRecord(0, 1, catalogue.entries.get("upstream/engine-0")!.revision);
    return measureCpuMicroseconds(() => {
        foldRecord(catalogue, catalogue.nextOffset, record);
    });
}

/** Costs of the catalogue. */
export const catalogueCases: readonly SlopeCase[] = [
    {
        role: "catalogue fold",
        subject: "folding one change",
        quantity: "cpuMicroseconds",
        sizeName: "entry",
        sizes: entryCounts,
        measure: measureFold,
        twoYearSize: twoYearEntries,
        twoYearRate: changesPerSecond,
        isControl: true,
        mechanism: "every daemon folds every change itself; a change is one record",
    },
    {
        role: "catalogue fold",
        subject: "catalogue in memory",
        quantity: "memoryBytes",
        sizeName: "entry",
        sizes: entryCounts,
        measure: count => measureBytes(() => createCatalogueOf(count)),
        twoYearSize: twoYearEntries,
        twoYearRate: 1,
        isControl: true,
        mechanism: "entries are stored once, by key",
    },
    {
        role: "catalogue fold",
        subject: "one change read from the log",
        quantity: "wireBytes",
        sizeName: "edit",
        sizes: [1, 10, 100],
        measure: edits => createRecord(0, edits, 0).length,
        twoYearSize: 1,
        twoYearRate: changesPerSecond,
        isControl: true,
        mechanism: "one long poll of the log per daemon",
    },
    {
        role: "restart",
        subject: "catalogue handed to a restarted peer",
        quantity: "wireBytes",
        sizeName: "entry",
        sizes: entryCounts,
        measure: count => JSON.stringify(catalogueToSnapshot(createCatalogueOf(count))).length,
        twoYearSize: twoYearEntries,
        // 254 restarts per day over all daemons, each of which queries 3 peers.
        twoYearRate: (254 * 3) / 86_400 / twoYears.daemons,
        isControl: true,
        mechanism: "only a restarted daemon reads a complete catalogue",
    },
    {
        role: "routing",
        subject: "listing a model's upstreams",
        quantity: "cpuMicroseconds",
        sizeName: "entry",
        sizes: entryCounts,
        measure: count => {
            const catalogue = createCatalogueOf(count);
            return measureCpuMicroseconds(() => {
                listEntries(catalogue, "upstream").filter(one => one.serves.includes("model-1"));
            });
        },
        twoYearSize: twoYearEntries,
        twoYearRate: requestsPerDaemon,
        isControl: false,
        mechanism: "an index by model, rebuilt on a change",
    },
];
