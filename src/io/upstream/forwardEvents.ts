/**
 * @module
 * Forwards an upstream's event stream to the caller, complete events only.
 */
import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import type { ForwardEnd } from "../../core/effects/effectTypes.js";
import { createBlockBuffer } from "../../core/memory/createBlockBuffer.js";
import type { EventScanner } from "../../core/stream/createEventScanner.js";
import type { CancelTimer, Clock } from "../../core/time/clock.js";
import { classifyBodyError } from "../_lib/classifyCallError.js";

/** A stream that is being forwarded. */
export interface Forwarding {
    /** Ends the forwarding for a reason other than the upstream's stream. */
    readonly stop: (end: ForwardEnd) => void;
}

/** Time for which a caller's socket may stay full before the stream is aborted, in milliseconds. */
const callerStallMs = 30_000;

/** Largest event, in bytes; a longer one is malformed. */
const maxEventBytes = 1 << 20;

const lineFeed = 0x0a;
const blankLine = "\n\n";

/** Returns whether a blank line ends in the chunk, which may begin in the byte before. */
function hasBlankLine(before: number | undefined, chunk: Buffer): boolean {
    return (before === lineFeed && chunk[0] === lineFeed) || chunk.includes(blankLine);
}

/**
 * Forwards events until the stream ends, breaks or is stopped. Bytes of an incomplete event are never sent. A slow
 * caller pauses the upstream's body, so that at most the socket buffers are held in memory; the stream is aborted when
 * the caller's socket stays full.
 *
 * @param body - Body of the upstream's answer.
 * @param res - The caller's answer, its head already written.
 * @param scanner - Checks the order and the end of events; its state carries over to the next connection.
 * @param clock - Limits the time for which a caller may stall.
 * @param onEnd - Called once with the reason of the end.
 * @returns A handle that stops the forwarding.
 */
export function forwardEvents(
    body: Readable,
    res: ServerResponse,
    scanner: EventScanner,
    clock: Clock,
    onEnd: (end: ForwardEnd) => void,
): Forwarding {
    /** Bytes of the incomplete event, and the last of them. */
    const incomplete = createBlockBuffer();
    let lastByte: number | undefined;
    let isOver = false;
    let cancelStall: CancelTimer = () => undefined;
    scanner.reopen();

    function finish(end: ForwardEnd): void {
        if (isOver) {
            return;
        }
        isOver = true;
        cancelStall();
        res.off("drain", onDrain);
        body.off("data", onChunk);
        body.destroy();
        onEnd(end);
    }

    function onDrain(): void {
        cancelStall();
        body.resume();
    }

    function waitForDrain(): void {
        body.pause();
        cancelStall();
        cancelStall = clock.after(callerStallMs, () => finish("callerStalled"));
    }

    /** Returns the incomplete event with the bytes that complete it. */
    function completeWith(chunk: Uint8Array): Uint8Array {
        if (incomplete.length() === 0) {
            return chunk;
        }
        incomplete.append(chunk);
        return incomplete.take();
    }

    function hold(bytes: Uint8Array): void {
        incomplete.append(bytes);
        lastByte = bytes.at(-1) ?? lastByte;
    }

    function forward(bytes: Uint8Array): void {
        const end = scanner.scan(bytes);
        const start = scanner.undeliveredStart();
        lastByte = undefined;
        hold(bytes.subarray(end));
        if (end > start && !res.write(bytes.subarray(start, end))) {
            waitForDrain();
        }
    }

    function onChunk(chunk: Buffer): void {
        if (hasBlankLine(lastByte, chunk)) {
            forward(completeWith(chunk));
        }
        else {
            hold(chunk);
        }
        const state = scanner.state();
        if (state !== "open") {
            finish(state === "ended" ? "complete" : "outOfOrder");
        }
        else if (incomplete.length() > maxEventBytes) {
            finish("outOfOrder");
        }
    }

    res.on("drain", onDrain);
    body.on("data", onChunk);
    body.on("end", () => finish("cut"));
    body.on("error", (err: Error) => finish(classifyBodyError(err)));
    return { stop: finish };
}
