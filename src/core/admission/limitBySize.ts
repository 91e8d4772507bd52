/**
 * @module
 * Keeps a part of a memory for small holdings. Clients that hold much would else keep out all ordinary ones.
 */

/** Largest size of a small holding, in bytes. */
const smallBytes = 64 * 1_024;

/** Share of the memory that large holdings may use. */
const largeShare = 0.875;

/**
 * Computes up to which size of all holdings together one of them may grow.
 *
 * @param maxBytes - Size of the memory, in bytes.
 * @param heldBytes - What the holding has once it has grown, in bytes.
 * @returns The limit, in bytes.
 * @example
 * limitBySize(16_000_000, 4_000_000); // 14_000_000
 * limitBySize(16_000_000, 500); // 16_000_000
 */
export function limitBySize(maxBytes: number, heldBytes: number): number {
    return heldBytes <= smallBytes ? maxBytes : Math.floor(maxBytes * largeShare);
}
