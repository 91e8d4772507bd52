/**
 * @module
 * The catalogue as one instance has it so far, from the log, a snapshot or a peer. Its offset only rises.
 */
import type { LogPage } from "../ports/logPort.js";
import { type Catalogue, emptyCatalogue } from "./catalogue.js";
import { foldRecord } from "./foldRecord.js";
import type { FoldVerdict } from "./foldVerdict.js";

/** What an instance has of the catalogue. */
export interface Replica {
    readonly catalogue: Catalogue;
    /** True once the log was read to its end, or a whole catalogue was adopted; it stays true. */
    readonly isWhole: boolean;
}

/** A record's offset with what became of it. */
export interface RecordVerdict {
    readonly offset: number;
    readonly verdict: FoldVerdict;
}

/**
 * What a page of the log came to. `gap`: records between the replica and the page are gone, nothing was folded;
 * `behind`: the log ends before the replica's offset, so it is not the log that was followed.
 */
export type PageResult =
    | { readonly kind: "folded"; readonly replica: Replica; readonly verdicts: readonly RecordVerdict[]; }
    | { readonly kind: "gap"; readonly firstKept: number; }
    | { readonly kind: "behind"; readonly end: number; };

/** A replica that has taken nothing. */
export const emptyReplica: Replica = { catalogue: emptyCatalogue, isWhole: false };

function findFirstOffset(page: LogPage, nextOffset: number): number {
    const first = page.records.find(record => record.offset >= nextOffset);
    return first === undefined ? Math.max(nextOffset, page.firstKept) : Math.max(first.offset, page.firstKept);
}

/**
 * Takes a page that was read from the replica's offset.
 *
 * @param replica - The replica.
 * @param page - The page.
 * @returns The replica after the page, or why the page cannot be folded.
 * @example
 * takePage(emptyReplica, { firstKept: 7, end: 9, records: [] }).kind; // "gap"
 */
export function takePage(replica: Replica, page: LogPage): PageResult {
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
    const isWhole = replica.isWhole || catalogue.nextOffset >= page.end;
    return { kind: "folded", replica: { catalogue, isWhole }, verdicts };
}

/**
 * Adopts a whole catalogue of a peer or a snapshot if it is newer.
 *
 * @param replica - The replica.
 * @param other - The whole catalogue.
 * @returns The replica with the newer catalogue of both.
 * @example
 * adoptCatalogue(emptyReplica, peerCatalogue).isWhole; // true
 */
export function adoptCatalogue(replica: Replica, other: Catalogue): Replica {
    return other.nextOffset > replica.catalogue.nextOffset ? { catalogue: other, isWhole: true } : replica;
}
