/**
 * @module
 * Collects an upstream's answer that is delivered as a whole.
 */
import { createBlockBuffer } from "../../core/memory/createBlockBuffer.js";
import type { HeaderPair, UpstreamAnswer } from "../../core/proxy/proxyTypes.js";

/** An answer that is being collected. */
export interface AnswerCollection {
    /** Adds a chunk; returns why the answer cannot be taken, or undefined. */
    readonly write: (chunk: Buffer) => string | undefined;
    /** Memory that the chunks take, in bytes. */
    readonly heldBytes: () => number;
    /** Returns the answer with the chunks so far as its body, and empties the collection. */
    readonly toAnswer: (status: number, headers: readonly HeaderPair[]) => UpstreamAnswer;
}

/** Maximum size of a collected answer. */
const maxAnswerBytes = 8 * 1024 * 1024;

/**
 * Creates a collection without chunks.
 *
 * @returns The collection.
 */
export function createAnswerCollection(): AnswerCollection {
    const buffer = createBlockBuffer({ maxBytes: maxAnswerBytes });
    return {
        write: chunk => (buffer.append(chunk) === "appended" ? undefined : "the answer is too large"),
        heldBytes: buffer.heldBytes,
        toAnswer: (status, headers) => ({ status, headers, body: buffer.take() }),
    };
}
