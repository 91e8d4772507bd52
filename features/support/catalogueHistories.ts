/**
 * @module
 * Random record histories of the catalogue's log stream.
 */
import fc from "fast-check";
import { type Catalogue, emptyCatalogue } from "../../src/core/catalogue/catalogue.js";
import type { CatalogueEntry } from "../../src/core/catalogue/catalogueEntry.js";
import { foldRecord } from "../../src/core/catalogue/foldRecord.js";
import type { LogRecord } from "../../src/core/ports/logPort.js";

/** Creates a model entry. */
export function createModel(id: string, weightsVersion: string): CatalogueEntry {
    return { kind: "model", id, owner: "operations", weightsVersion, minimumServingShare: 0.5 };
}

/** Creates the JSON text of a change to one entry; an undefined entry removes it. */
export function createChange(
    changeId: string,
    key: string,
    basedOn: number,
    entry: CatalogueEntry | undefined,
): string {
    return JSON.stringify({ kind: "change", changeId, author: "test", edits: [{ key, basedOn, entry }] });
}

/** Creates changes that each add a new model. */
export function createChanges(count: number): readonly string[] {
    return Array.from(
        { length: count },
        (_, index) => createChange(`change-${index}`, `model/m${index}`, 0, createModel(`m${index}`, "v1")),
    );
}

interface RecordDraft {
    readonly shape: "change" | "removal" | "order" | "progress" | "malformed";
    readonly model: number;
    readonly version: number;
    readonly changeId: number;
    readonly basedOn: number;
    readonly upstream: number;
    readonly isDone: boolean;
}

function formatDraft(draft: RecordDraft): string {
    const id = `m${draft.model}`;
    const changeId = `change-${draft.changeId}`;
    switch (draft.shape) {
        case "change":
            return createChange(changeId, `model/${id}`, draft.basedOn, createModel(id, `v${draft.version}`));
        case "removal":
            return createChange(changeId, `model/${id}`, draft.basedOn, undefined);
        case "progress":
            return JSON.stringify({
                kind: "orderProgress",
                author: "test",
                fencingNumber: draft.basedOn,
                begun: draft.isDone ? [] : [{ upstream: `u${draft.upstream}`, model: id, weightsVersion: "v1" }],
                ended: [{ upstream: `u${draft.changeId % 3}`, isLoaded: draft.changeId % 2 === 0 }],
                ordersEnded: [{ orderId: `order-${draft.changeId}0`, outcome: "done", detail: "" }],
                rolledOut: draft.isDone ? [`${id}@v${draft.version}`] : [],
            });
        case "order":
            return JSON.stringify({
                kind: "order",
                orderId: `order-${draft.changeId}0`,
                author: "test",
                upstream: `u${draft.upstream}`,
                action: "load",
                model: id,
                weightsVersion: "v1",
                role: "",
                givenMs: 0,
            });
        case "malformed":
            return "{\"kind\":\"change\"";
    }
}

const draftArbitrary: fc.Arbitrary<RecordDraft> = fc.record({
    shape: fc.constantFrom("change", "change", "change", "removal", "order", "progress", "progress", "malformed"),
    model: fc.integer({ min: 0, max: 1 }),
    version: fc.integer({ min: 0, max: 2 }),
    changeId: fc.integer({ min: 0, max: 12 }),
    basedOn: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 12 })),
    upstream: fc.integer({ min: 0, max: 2 }),
    isDone: fc.boolean(),
});

/** Histories of up to 24 records. */
export const historyArbitrary: fc.Arbitrary<readonly string[]> = fc.array(draftArbitrary, { maxLength: 24 })
    .map(drafts => drafts.map(formatDraft));

/** Numbers payloads with offsets from 0. */
export function toRecords(payloads: readonly string[]): readonly LogRecord[] {
    return payloads.map((payload, offset) => ({ offset, payload }));
}

/** Folds payloads one by one, starting from the empty catalogue. */
export function foldAll(payloads: readonly string[]): Catalogue {
    return toRecords(payloads).reduce(
        (catalogue, record) => foldRecord(catalogue, record.offset, record.payload).catalogue,
        emptyCatalogue,
    );
}
