/**
 * @module
 * How much of what was written to a connection has not been taken by the system yet. The number of written bytes that Node.js
 * reports contains what waits, so it does not show whether the other side reads.
 */
import type { Socket } from "node:net";

/**
 * Reads how many bytes wait to be sent.
 *
 * @param socket - The connection.
 * @returns The number of bytes; 0 on a closed connection.
 * @example
 * const isStalled = readUnsentBytes(socket) === unsentBefore;
 */
export function readUnsentBytes(socket: Socket): number {
    const { _handle: handle } = socket as Socket & { readonly _handle?: { readonly writeQueueSize?: number; } | null; };
    return handle?.writeQueueSize ?? 0;
}
