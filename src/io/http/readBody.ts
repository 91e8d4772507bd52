/**
 * @module
 * Reads a caller's request body within limits of size and time.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "true-myth/result";
import { createRefusal, type Refusal } from "../../core/errors/createRefusal.js";
import type { MemoryReservation } from "../../core/memory/createMemoryBudget.js";
import type { Clock } from "../../core/time/clock.js";

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    /** Memory that the body holds, and goes on to hold after it was read; unbounded when it is left out. */
    readonly reservation?: Pick<MemoryReservation, "tryGrow">;
    /** Receives a function that ends the reading with a refusal; it has no effect once the body is complete. */
    readonly onBegin?: (stop: (refusal: Refusal) => void) => void;
}

/** Retry-after time of a caller whose request body has no room, in milliseconds. */
const memoryRetryAfterMs = 500;

function createMemoryRefusal(): Refusal {
    const detail = "the request bodies in progress hold as much as the memory allows";
    return createRefusal("memoryFull", detail, { retryAfterMs: memoryRetryAfterMs });
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
        // One block of the stated length is returned to the system as a whole, and needs no second copy at the end.
        const statedBytes = Number(req.headers["content-length"] ?? 0);
        const isReservedWhole = statedBytes > 0 && statedBytes <= options.maxBytes;
        const chunks: Buffer[] = [];
        let block: Buffer | undefined;
        let length = 0;
        const cancelTimer = clock.after(options.timeoutMs, () => {
            finish(err(createRefusal("slowSender", `more than ${options.timeoutMs} ms`)));
        });

        function finish(result: Result<Buffer, Refusal>): void {
            cancelTimer();
            req.off("data", onChunk);
            req.resume();
            resolve(result);
        }

        function onChunk(chunk: Buffer): void {
            length += chunk.length;
            if (block !== undefined) {
                chunk.copy(block, length - chunk.length);
                return;
            }
            if (length > options.maxBytes) {
                finish(err(createRefusal("bodyTooLarge", `more than ${options.maxBytes} bytes`)));
                return;
            }
            if (!tryGrow(chunk.length)) {
                finish(err(createMemoryRefusal()));
                return;
            }
            chunks.push(chunk);
        }

        function tryGrow(bytes: number): boolean {
            return options.reservation?.tryGrow(bytes) ?? true;
        }

        if (isReservedWhole) {
            if (!tryGrow(statedBytes)) {
                finish(err(createMemoryRefusal()));
                return;
            }
            block = Buffer.allocUnsafeSlow(statedBytes);
        }
        options.onBegin?.(refusal => finish(err(refusal)));
        req.on("data", onChunk);
        req.on("end", () => finish(ok(block ?? Buffer.concat(chunks))));
        req.on("error", () => finish(err(createRefusal("malformedRequest", "connection closed within the body"))));
    });
}
