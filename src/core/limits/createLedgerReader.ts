/**
 * @module
 * Reads the share stream into a ledger also when the log no longer keeps the stream's beginning: from a checkpoint, which
 * is a ledger that some instance has written into the stream.
 */
import type { LogPage } from "../ports/logPort.js";
import { emptySeatLedger, foldSeatRecord, type SeatLedger } from "./foldSeatRecord.js";
import { decodeSeatLedger, encodeSeatLedger } from "./seatSnapshot.js";

/** Reader of the share stream. */
export interface LedgerReader {
    /** Offset to read from next. */
    readonly nextOffset: () => number;
    /** Takes a page; returns the ledger after it, or undefined while the stream's state is not known yet. */
    readonly take: (page: LogPage) => SeatLedger | undefined;
    /** Takes a peer's ledger if it is newer. */
    readonly adopt: (ledger: SeatLedger) => void;
    /** Records that were folded since the newest checkpoint. */
    readonly countSinceCheckpoint: () => number;
}

interface Kept {
    readonly offset: number;
    readonly payload: string;
}

const checkpointPrefix = "checkpoint ";

/**
 * Encodes a checkpoint as a record of the share stream; the fold passes it over.
 *
 * @param ledger - The ledger to write.
 * @returns The record.
 * @example
 * log.append("shares", [encodeCheckpoint(keeper.ledger())]);
 */
export function encodeCheckpoint(ledger: SeatLedger): string {
    return checkpointPrefix + encodeSeatLedger(ledger);
}

function decodeCheckpoint(payload: string): SeatLedger | undefined {
    return payload.startsWith(checkpointPrefix) ? decodeSeatLedger(payload.slice(checkpointPrefix.length)) : undefined;
}

/**
 * Creates the reader. A checkpoint is used only if every record from its offset on is at hand, so that the ledger is the
 * same as that of an instance that has read the whole stream.
 *
 * @returns The reader, at the stream's beginning.
 * @example
 * createLedgerReader().nextOffset(); // 0
 */
export function createLedgerReader(): LedgerReader {
    let ledger: SeatLedger | undefined = emptySeatLedger;
    let kept: readonly Kept[] = [];
    let keptFrom = 0;
    let sinceCheckpoint = 0;

    const nextOffset = () => ledger?.nextOffset ?? keptFrom + kept.length;

    function fold(record: Kept): void {
        if (ledger !== undefined && record.offset >= ledger.nextOffset) {
            ledger = foldSeatRecord(ledger, record.offset, record.payload);
            sinceCheckpoint = decodeCheckpoint(record.payload) === undefined ? sinceCheckpoint + 1 : 0;
        }
    }

    function startFrom(checkpoint: SeatLedger): void {
        ledger = checkpoint;
        kept.forEach(fold);
        kept = [];
    }

    function keep(record: Kept): void {
        kept = [...kept, record];
        const checkpoint = decodeCheckpoint(record.payload);
        if (checkpoint !== undefined && checkpoint.nextOffset >= keptFrom) {
            startFrom(checkpoint);
        }
    }

    function take(page: LogPage): SeatLedger | undefined {
        if (page.firstKept > nextOffset()) {
            ledger = undefined;
            kept = [];
            keptFrom = page.firstKept;
        }
        for (const record of page.records) {
            if (ledger === undefined) {
                keep(record);
            }
            else {
                fold(record);
            }
        }
        return ledger;
    }

    return {
        nextOffset,
        take,
        adopt: other => {
            if (ledger === undefined ? other.nextOffset >= keptFrom : other.nextOffset > ledger.nextOffset) {
                startFrom(other);
            }
        },
        countSinceCheckpoint: () => sinceCheckpoint,
    };
}
