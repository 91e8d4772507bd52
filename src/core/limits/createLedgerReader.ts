/**
 * @module
 * Reads the share stream into a shard ledger. When the log no longer retains the beginning of the stream, the reader
 * starts from a checkpoint, which is a ledger that an instance has written into the stream.
 */
import type { LogPage } from "../ports/logPort.js";
import { emptyShardLedger, foldShardRecord, type ShardLedger } from "./foldShardRecord.js";
import { decodeShardLedger, encodeShardLedger } from "./shardSnapshot.js";

/** Reader of the share stream. */
export interface LedgerReader {
    /** Offset to read from next. */
    readonly nextOffset: () => number;
    /** Applies a page; returns the ledger after it, or undefined while the stream's state is not known yet. */
    readonly applyPage: (page: LogPage) => ShardLedger | undefined;
    /** Replaces the ledger by a peer's ledger if that one is newer. */
    readonly adopt: (ledger: ShardLedger) => void;
    /** Number of records that were folded since the newest checkpoint. */
    readonly countSinceCheckpoint: () => number;
}

interface BufferedRecord {
    readonly offset: number;
    readonly payload: string;
}

const checkpointPrefix = "checkpoint ";

/**
 * Encodes a checkpoint as a record of the share stream; the fold ignores it.
 *
 * @param ledger - The ledger to write.
 * @returns The record.
 * @example
 * log.append("shares", [encodeCheckpoint(manager.ledger())]);
 */
export function encodeCheckpoint(ledger: ShardLedger): string {
    return checkpointPrefix + encodeShardLedger(ledger);
}

function decodeCheckpoint(payload: string): ShardLedger | undefined {
    return payload.startsWith(checkpointPrefix) ? decodeShardLedger(payload.slice(checkpointPrefix.length)) : undefined;
}

/**
 * Creates the reader. A checkpoint is used only if every record from its offset on is available, so that the ledger is
 * the same as that of an instance that has read the complete stream.
 *
 * @returns The reader, at the beginning of the stream.
 * @example
 * createLedgerReader().nextOffset(); // 0
 */
export function createLedgerReader(): LedgerReader {
    let ledger: ShardLedger | undefined = emptyShardLedger;
    let buffered: readonly BufferedRecord[] = [];
    let bufferedFrom = 0;
    let sinceCheckpoint = 0;

    const nextOffset = () => ledger?.nextOffset ?? bufferedFrom + buffered.length;

    function fold(record: BufferedRecord): void {
        if (ledger !== undefined && record.offset >= ledger.nextOffset) {
            ledger = foldShardRecord(ledger, record.offset, record.payload);
            sinceCheckpoint = decodeCheckpoint(record.payload) === undefined ? sinceCheckpoint + 1 : 0;
        }
    }

    function startFrom(checkpoint: ShardLedger): void {
        ledger = checkpoint;
        buffered.forEach(fold);
        buffered = [];
    }

    function buffer(record: BufferedRecord): void {
        buffered = [...buffered, record];
        const checkpoint = decodeCheckpoint(record.payload);
        if (checkpoint !== undefined && checkpoint.nextOffset >= bufferedFrom) {
            startFrom(checkpoint);
        }
    }

    function applyPage(page: LogPage): ShardLedger | undefined {
        if (page.firstKept > nextOffset()) {
            ledger = undefined;
            buffered = [];
            bufferedFrom = page.firstKept;
        }
        for (const record of page.records) {
            if (ledger === undefined) {
                buffer(record);
            }
            else {
                fold(record);
            }
        }
        return ledger;
    }

    return {
        nextOffset,
        applyPage,
        adopt: other => {
            if (ledger === undefined ? other.nextOffset >= bufferedFrom : other.nextOffset > ledger.nextOffset) {
                startFrom(other);
            }
        },
        countSinceCheckpoint: () => sinceCheckpoint,
    };
}
