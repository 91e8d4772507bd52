/**
 * @module
 * How many connections may wait at a listener until they are accepted. What their clients send meanwhile counts toward the memory
 * of the process.
 */

import { unreadConnectionBytes } from "../constants.js";

/** Share of the memory for connections that wait. */
const memoryShare = 0.05;

/** The smallest number, which a burst of callers needs, and the largest, which is the engine's default. */
const minConnections = 64;
const maxConnections = 511;

/**
 * Computes the number.
 *
 * @param memoryBytes - Memory that the process is allowed, in bytes.
 * @returns The number.
 * @example
 * limitWaitingConnections(200 * 1_048_576); // 160
 */
export function limitWaitingConnections(memoryBytes: number): number {
    const byMemory = Math.floor(memoryBytes * memoryShare / unreadConnectionBytes);
    return Math.min(maxConnections, Math.max(minConnections, byMemory));
}
