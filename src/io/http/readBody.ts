/**
 * @module
 * Reads a caller's request body within limits of size and time.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "true-myth/result";
import { createRefusal, type Refusal } from "../../core/errors/createRefusal.js";
import type { Clock } from "../../core/time/clock.js";

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    /** Receives a function that ends the reading with a refusal; it has no effect once the body is complete. */
    readonly onBegin?: (stop: (refusal: Refusal) => void) => void;
}

/**
 * Reads the complete body.
 *
 * @param req - The caller's request.
 * @param clock - Measures the time limit.
 * @param options - Limits of size and time.
 * @returns The bytes, or a `bodyTooLarge`, `slowSender` or `malformedRequest` refusal, or the one of the stop.
 */
export function readBody(
    req: IncomingMessage,
    clock: Clock,
    options: ReadBodyOptions,
): Promise<Result<Buffer, Refusal>> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
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
            if (length > options.maxBytes) {
                finish(err(createRefusal("bodyTooLarge", `more than ${options.maxBytes} bytes`)));
                return;
            }
            chunks.push(chunk);
        }

        options.onBegin?.(refusal => finish(err(refusal)));
        req.on("data", onChunk);
        req.on("end", () => finish(ok(Buffer.concat(chunks))));
        req.on("error", () => finish(err(createRefusal("malformedRequest", "connection closed within the body"))));
    });
}
