/**
 * @module
 * How much of what is no longer held may wait to be collected.
 */

const megabyte = 1_048_576;

/** Share of the memory of a process. */
const memoryShare = 0.03;

/** Smallest limit, so that a small process does not collect all the time, and the largest one, in bytes. */
const minBytes = 4 * megabyte;
const maxBytes = 16 * megabyte;

/**
 * Computes the limit.
 *
 * @param memoryBytes - Memory that the process is allowed, in bytes.
 * @returns The limit, in bytes.
 * @example
 * limitGarbage(200 * 1_048_576); // 6_291_456
 */
export function limitGarbage(memoryBytes: number): number {
    return Math.min(maxBytes, Math.max(minBytes, memoryBytes * memoryShare));
}
