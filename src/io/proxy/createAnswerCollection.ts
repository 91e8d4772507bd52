/**
 * @module
 * Collects an upstream's answer that is delivered as a whole.
 */
import type { HeaderPair, UpstreamAnswer } from "../../core/proxy/proxyTypes.js";

/** An answer that is being collected. */
export interface AnswerCollection {
    /** Adds a chunk; returns why the answer cannot be taken, or undefined. */
    readonly write: (chunk: Buffer) => string | undefined;
    readonly heldBytes: () => number;
    /** Returns the answer with the chunks so far as its body. */
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
    const chunks: Buffer[] = [];
    let length = 0;
    return {
        write: chunk => {
            chunks.push(chunk);
            length += chunk.length;
            return length <= maxAnswerBytes ? undefined : "the answer is too large";
        },
        heldBytes: () => length,
        toAnswer: (status, headers) => ({ status, headers, body: Buffer.concat(chunks) }),
    };
}
