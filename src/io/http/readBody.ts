/**
 * @module
 * Reads a caller's request body within limits of size and time.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "true-myth/result";
import { unreadConnectionBytes } from "../../core/constants.js";
import { createRefusal, type Refusal } from "../../core/errors/createRefusal.js";
import { type AppendResult, type BlockBuffer, createBlockBuffer } from "../../core/memory/createBlockBuffer.js";
import type { BlockPool } from "../../core/memory/createBlockPool.js";
import type { MemoryReservation } from "../../core/memory/createMemoryBudget.js";
import type { Clock } from "../../core/time/clock.js";
import { shareUploadTurns } from "./shareUploadTurns.js";

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    /** Memory that the body holds, and goes on to hold after it was read; unbounded when it is left out. */
    readonly reservation?: Pick<MemoryReservation, "tryGrow" | "yieldWhile" | "giveBack">;
    /** Provides the memory of a long body until it is complete. */
    readonly pool?: BlockPool;
    /** Called when the body is given up because it is behind its pace and others need the memory. */
    readonly onEvicted?: () => void;
    /** Receives a function that ends the reading with a refusal; it has no effect once the body is complete. */
    readonly onBegin?: (stop: (refusal: Refusal) => void) => void;
}

/** Retry-after time of a caller whose request body has no room, in milliseconds. */
const memoryRetryAfterMs = 500;

function createMemoryRefusal(): Refusal {
    const detail = "the request bodies in progress hold as much as the memory allows";
    return createRefusal("memoryFull", detail, { retryAfterMs: memoryRetryAfterMs });
}

/** A short body of a stated length takes one block and needs no copy at the end. */
function createBodyBuffer(req: IncomingMessage, { maxBytes, reservation, pool }: ReadBodyOptions): BlockBuffer {
    const statedBytes = Number(req.headers["content-length"] ?? 0);
    return createBlockBuffer({
        maxBytes,
        expectedBytes: statedBytes <= maxBytes ? statedBytes : 0,
        ...(reservation === undefined ? {} : { tryGrow: reservation.tryGrow }),
        ...(pool === undefined ? {} : { pool }),
    });
}

/**
 * Reads the complete body.
 *
 * @param req - The caller's request.
 * @param clock - Measures the time limit.
 * @param options - Limits of size and time.
 * @returns The bytes, or a `bodyTooLarge`, `memoryFull`, `slowSender` or `malformedRequest` refusal, or the one of the stop.
 */
export function readBody(
    req: IncomingMessage,
    clock: Clock,
    options: ReadBodyOptions,
): Promise<Result<Buffer, Refusal>> {
    return new Promise(resolve => {
        let buffer: BlockBuffer | undefined = createBodyBuffer(req, options);
        let isUnreadCounted = false;
        const progress = { sinceMs: clock.now(), bytes: 0 };
        const keepRoom = options.reservation?.yieldWhile({
            readProgress: () => progress,
            evict: () => {
                options.onEvicted?.();
                refuse(createMemoryRefusal());
            },
        });
        const cancelTimer = clock.after(options.timeoutMs, () => {
            refuse(createRefusal("slowSender", `more than ${options.timeoutMs} ms`));
        });

        function finish(result: Result<Buffer, Refusal>): void {
            cancelTimer();
            keepRoom?.();
            buffer = undefined;
            resolve(result);
        }

        /** The rest of a body that is refused is read and dropped. */
        function refuse(refusal: Refusal): void {
            if (buffer !== undefined) {
                buffer.discard();
                options.reservation?.giveBack();
            }
            finish(err(refusal));
        }

        /** Behind a body that takes more than one read, the system may hold bytes that are not read. */
        function countUnread(): AppendResult {
            const isLong = !isUnreadCounted && progress.bytes > unreadConnectionBytes;
            isUnreadCounted ||= isLong;
            return isLong && options.reservation?.tryGrow(unreadConnectionBytes) === false ? "noRoom" : "appended";
        }

        function onChunk(chunk: Buffer): void {
            progress.bytes += chunk.length;
            let result = buffer?.append(chunk);
            if (result === "appended") {
                result = countUnread();
            }
            if (result === "tooLong") {
                refuse(createRefusal("bodyTooLarge", `more than ${options.maxBytes} bytes`));
            }
            else if (result === "noRoom") {
                refuse(createMemoryRefusal());
            }
        }

        function onEnd(): void {
            if (buffer !== undefined) {
                const { buffer: memory, byteOffset, length } = buffer.take();
                finish(ok(Buffer.from(memory, byteOffset, length)));
            }
        }

        options.onBegin?.(refusal => refuse(refusal));
        req.on("data", onChunk);
        req.on("end", onEnd);
        req.on("error", () => refuse(createRefusal("malformedRequest", "connection closed within the body")));
        shareUploadTurns(req);
    });
}
