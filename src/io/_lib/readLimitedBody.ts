/**
 * @module
 * Reads the body of an answer up to a limit.
 */
import type { Readable } from "node:stream";

/** Thrown when a body exceeds its limit. */
export class BodyLimitError extends Error {
    /**
     * Creates the error.
     *
     * @param maxBytes - The limit in bytes.
     */
    constructor(maxBytes: number) {
        super(`the body exceeds ${maxBytes} bytes`);
    }
}

/**
 * Reads a body completely. Beyond the limit the connection is closed: an upstream in trouble may send bytes without end.
 *
 * @param body - The body.
 * @param maxBytes - Limit in bytes.
 * @returns The bytes.
 * @throws {@link BodyLimitError} when the body is longer.
 */
export async function readLimitedBody(body: Readable, maxBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of body as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length > maxBytes) {
            throw new BodyLimitError(maxBytes);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
