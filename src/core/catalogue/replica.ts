/**
 * @module
 * Replica of the catalogue on one instance, from the log, a snapshot or a peer. Its offset never decreases.
 */
import type { LogPage } from "../ports/logPort.js";
import { type Catalogue, emptyCatalogue } from "./catalogue.js";
import { foldRecord } from "./foldRecord.js";
import type { FoldVerdict } from "./foldVerdict.js";

/** Replica of the catalogue on one instance. */
export interface Replica {
    readonly catalogue: Catalogue;
    /** True once the log was read to its end or a complete catalogue was adopted; stays true after that. */
    readonly isComplete: boolean;
}

/** Verdict on a record, with its offset. */
export interface RecordVerdict {
    readonly offset: number;
    readonly verdict: FoldVerdict;
}

/**
 * Result of applying a page of the log. `gap`: the log has deleted records between the replica and the page, nothing was
 * folded; `behind`: the log ends before the replica's offset, so it is a different log.
 */
export type PageResult =
    | { readonly kind: "folded"; readonly replica: Replica; readonly verdicts: readonly RecordVerdict[]; }
    | { readonly kind: "gap"; readonly firstKept: number; }
    | { readonly kind: "behind"; readonly end: number; };

/** A replica without any record. */
export const emptyReplica: Replica = { catalogue: emptyCatalogue, isComplete: false };

function findFirstOffset(page: LogPage, nextOffset: number): number {
    const first = page.records.find(record => record.offset >= nextOffset);
    return first === undefined ? Math.max(nextOffset, page.firstKept) : Math.max(first.offset, page.firstKept);
}

/**
 * Applies a page that was read from the replica's offset.
 *
 * @param replica - The replica.
 * @param page - The page.
 * @returns The replica after the page, or why the page cannot be folded.
 * @example
 * applyPage(emptyReplica, { firstKept: 7, end: 9, records: [] }).kind; // "gap"
 */
export function applyPage(replica: Replica, page: LogPage): PageResult {
    const { nextOffset } = replica.catalogue;
    if (page.end < nextOffset) {
        return { kind: "behind", end: page.end };
    }
    if (findFirstOffset(page, nextOffset) > nextOffset) {
        return { kind: "gap", firstKept: page.firstKept };
    }
    let catalogue = replica.catalogue;
    const verdicts: RecordVerdict[] = [];
    for (const record of page.records) {
        const folded = foldRecord(catalogue, record.offset, record.payload);
        catalogue = folded.catalogue;
        verdicts.push({ offset: record.offset, verdict: folded.verdict });
    }
    const isWhole = replica.isComplete || catalogue.nextOffset >= page.end;
    return { kind: "folded", replica: { catalogue, isComplete: isWhole }, verdicts };
}

/**
 * Adopts the complete catalogue of a peer or a snapshot if it is newer.
 *
 * @param replica - The replica.
 * @param other - The complete catalogue.
 * @returns The replica with the newer of the two catalogues.
 * @example
 * adoptCatalogue(emptyReplica, peerCatalogue).isWhole; // true
 */
export function adoptCatalogue(replica: Replica, other: Catalogue): Replica {
    return other.nextOffset > replica.catalogue.nextOffset ? { catalogue: other, isComplete: true } : replica;
}
