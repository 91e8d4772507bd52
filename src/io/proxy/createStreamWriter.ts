/**
 * @module
 * Writes a stream to a caller with one write in progress at a time. A write of its own for each piece would take some
 * kilobytes of memory however short the piece is, and the caller's write buffer counts the bytes alone.
 */
import type { ServerResponse } from "node:http";
import { createActionSet } from "../../core/_lib/createActionSet.js";
import { createBlockBuffer } from "../../core/memory/createBlockBuffer.js";
import type { AnswerHolding } from "../../core/proxy/createAnswerMemory.js";

/** The writer of one stream. */
export interface StreamWriter {
    /**
     * Writes bytes at once if no write is in progress; otherwise collects a copy of them.
     *
     * @returns Whether more may be written: false when so many are collected that their source has to pause.
     */
    readonly write: (bytes: Uint8Array) => boolean;
    /** Calls `action` when what is collected is being written. */
    readonly onDrained: (action: () => void) => void;
    /** Writes what is collected, and ends the response. */
    readonly end: () => void;
    /** Hands what is collected to the connection, without waiting for the write in progress. */
    readonly flush: () => void;
    /** Forgets what is collected: nothing is written any more. */
    readonly discard: () => void;
}

/** Number of collected bytes from which the source has to pause. */
const maxCollectedBytes = 16 * 1024;

/** Bytes that a piece may keep in memory beside its own, since it is a view of a read. */
const maxOtherBytes = 4 * 1024;

/** Returns bytes that keep few others in memory. */
function detach(bytes: Uint8Array): Uint8Array {
    return bytes.buffer.byteLength - bytes.length > maxOtherBytes ? new Uint8Array(bytes) : bytes;
}

/**
 * Creates a writer that has written nothing.
 *
 * @param res - The response.
 * @param holding - Records how many bytes wait to be written.
 * @returns The writer.
 */
export function createStreamWriter(res: ServerResponse, holding: AnswerHolding): StreamWriter {
    const collected = createBlockBuffer();
    const drainActions = createActionSet();
    /** Bytes of the write in progress; 0 while there is none. */
    let writingBytes = 0;
    let isOver = false;

    function recordHeld(): void {
        holding.set(writingBytes + collected.heldBytes());
    }

    function start(bytes: Uint8Array): void {
        writingBytes = bytes.length;
        recordHeld();
        res.write(bytes, finishWrite);
    }

    /** After a failed write nothing is left to do: its connection is closed, or about to be. */
    function finishWrite(err: unknown): void {
        writingBytes = 0;
        if (isOver || err instanceof Error) {
            return;
        }
        if (collected.length() > 0) {
            start(collected.take());
        }
        else {
            recordHeld();
        }
        drainActions.run();
    }

    function discard(): void {
        isOver = true;
        collected.take();
        drainActions.clear();
        holding.close();
    }

    return {
        write: bytes => {
            if (isOver || bytes.length === 0) {
                return true;
            }
            if (writingBytes === 0) {
                start(detach(bytes));
                return true;
            }
            collected.append(bytes);
            recordHeld();
            return isOver || collected.length() < maxCollectedBytes;
        },
        onDrained: drainActions.add,
        end: () => {
            if (isOver) {
                return;
            }
            isOver = true;
            const rest = collected.take();
            holding.set(writingBytes + rest.length);
            if (rest.length > 0) {
                res.end(rest);
            }
            else {
                res.end();
            }
        },
        flush: () => {
            if (!isOver && collected.length() > 0) {
                res.write(collected.take());
                // Node.js keeps what is written in one turn until its end, and destroying a connection discards it.
                res.socket?.uncork();
            }
        },
        discard,
    };
}
