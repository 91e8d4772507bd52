/**
 * @module
 * Properties of the catalogue's fold, replica and snapshots.
 */
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { Catalogue } from "../../src/core/catalogue/catalogue.js";
import { adoptCatalogue, applyPage, emptyReplica, type Replica } from "../../src/core/catalogue/replica.js";
import { catalogueFromSnapshot, catalogueToSnapshot } from "../../src/core/catalogue/snapshot.js";
import { joinSnapshot, parseSnapshotPart, splitSnapshot } from "../../src/core/catalogue/snapshotParts.js";
import type { LogPage } from "../../src/core/ports/logPort.js";
import { createChanges, foldAll, historyArbitrary, toRecords } from "../support/catalogueHistories.js";

const seed = 60_601;

type Transfer = (catalogue: Catalogue) => Catalogue;
type ApplyPage = typeof applyPage;
type Adopt = typeof adoptCatalogue;

const transferComplete: Transfer = catalogue =>
    catalogueFromSnapshot(JSON.parse(JSON.stringify(catalogueToSnapshot(catalogue))));
const transferWithoutChanges: Transfer = catalogue => ({ ...transferComplete(catalogue), changes: new Map() });

function createPage(payloads: readonly string[], firstKept: number, from: number, count: number): LogPage {
    const records = toRecords(payloads).filter(record => record.offset >= Math.max(from, firstKept)).slice(0, count);
    return { firstKept, end: payloads.length, records };
}

function toText(catalogue: Catalogue): string {
    return JSON.stringify(catalogueToSnapshot(catalogue));
}

function checkFolds(runs: number, transfer: Transfer): void {
    const pageSizes = fc.array(fc.record({ count: fc.integer({ min: 1, max: 5 }), isTransferred: fc.boolean() }), {
        minLength: 24,
    });
    fc.assert(
        fc.property(historyArbitrary, pageSizes, (payloads, pages) => {
            let replica: Replica = emptyReplica;
            for (const page of pages) {
                const applied = applyPage(replica, createPage(payloads, 0, replica.catalogue.nextOffset, page.count));
                assert.equal(applied.kind, "folded");
                replica = applied.kind === "folded" ? applied.replica : replica;
                if (page.isTransferred) {
                    replica = { ...replica, catalogue: transfer(replica.catalogue) };
                }
            }
            assert.equal(toText(replica.catalogue), toText(foldAll(payloads)));
        }),
        { seed, numRuns: runs },
    );
}

const eventArbitrary = fc.record({
    kind: fc.constantFrom("tail", "peer", "truncate"),
    at: fc.integer({ min: 0, max: 24 }),
    count: fc.integer({ min: 0, max: 4 }),
});

function checkInterleavings(runs: number, apply: ApplyPage, adopt: Adopt): void {
    fc.assert(
        fc.property(historyArbitrary, fc.array(eventArbitrary, { maxLength: 30 }), (payloads, events) => {
            let replica: Replica = emptyReplica;
            let firstKept = 0;
            for (const event of events) {
                const at = Math.min(event.at, payloads.length);
                const before = replica;
                if (event.kind === "truncate") {
                    firstKept = Math.max(firstKept, at);
                }
                else if (event.kind === "peer") {
                    replica = adopt(replica, foldAll(payloads.slice(0, at)));
                }
                else {
                    const page = createPage(payloads, firstKept, replica.catalogue.nextOffset, event.count);
                    const applied = apply(replica, page);
                    replica = applied.kind === "folded" ? applied.replica : replica;
                }
                const { nextOffset } = replica.catalogue;
                assert.ok(nextOffset >= before.catalogue.nextOffset);
                assert.ok(replica.isComplete || !before.isComplete);
                assert.equal(toText(replica.catalogue), toText(foldAll(payloads.slice(0, nextOffset))));
            }
        }),
        { seed, numRuns: runs },
    );
}

Then(
    "{int} random histories fold to the same catalogue however they are paged and snapshotted",
    (runs: number) => checkFolds(runs, transferComplete),
);

Then("a fold that loses the applied change ids at a snapshot is detected", () => {
    assert.throws(() => checkFolds(300, transferWithoutChanges));
});

Then(
    "{int} random interleavings never lower an offset and always hold the fold of a prefix",
    (runs: number) => checkInterleavings(runs, applyPage, adoptCatalogue),
);

Then("an adoption that accepts older catalogues is detected", () => {
    const adoptAny: Adopt = (_, other) => ({ catalogue: other, isComplete: true });
    assert.throws(() => checkInterleavings(500, applyPage, adoptAny));
});

Then("a replica that skips truncated records is detected", () => {
    const skipGap: ApplyPage = (replica, page) => applyPage(replica, { ...page, firstKept: 0, records: page.records });
    const skipRecords: ApplyPage = (replica, page) => {
        const nextOffset = Math.max(replica.catalogue.nextOffset, page.firstKept);
        return skipGap({ ...replica, catalogue: { ...replica.catalogue, nextOffset } }, page);
    };
    assert.throws(() => checkInterleavings(500, skipRecords, adoptCatalogue));
});

Then("{int} random catalogues are restored equal from the records of their snapshot", (runs: number) => {
    fc.assert(
        fc.property(historyArbitrary, payloads => {
            const catalogue = foldAll(payloads);
            const parts = splitSnapshot(catalogueToSnapshot(catalogue), "entry-1", 0).map(one =>
                parseSnapshotPart(one)!
            );
            const joined = joinSnapshot(parts);
            assert.ok(joined.isOk);
            assert.equal(toText(catalogueFromSnapshot(joined.value)), toText(catalogue));
        }),
        { seed, numRuns: runs },
    );
});

Then("a snapshot with a missing part is rejected", () => {
    const catalogue = foldAll(createChanges(2_000));
    const parts = splitSnapshot(catalogueToSnapshot(catalogue), "entry-1", 0).map(one => parseSnapshotPart(one)!);
    assert.ok(parts.length > 1);
    assert.ok(joinSnapshot(parts).isOk);
    assert.ok(joinSnapshot(parts.slice(1)).isErr);
    assert.ok(joinSnapshot(parts.slice(0, -1)).isErr);
    assert.ok(joinSnapshot([...parts].reverse()).isErr);
});
