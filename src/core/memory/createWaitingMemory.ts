/**
 * @module
 * The memory of connections that wait for their turn to be read.
 */
import { createMemoryBudget, type MemoryBudget } from "./createMemoryBudget.js";

/**
 * Creates a memory that holds nothing. When it is used up, the connections that have waited longest yield, whatever they have
 * sent: all of them send faster than they are read.
 *
 * @param maxBytes - Limit of all connections together, in bytes.
 * @param now - Time on the clock, in milliseconds.
 * @returns The memory.
 * @example
 * const holding = createWaitingMemory(8_000_000, clock.now).open();
 */
export function createWaitingMemory(maxBytes: number, now: () => number): MemoryBudget {
    return createMemoryBudget({ maxBytes, paceBytesPerMs: Infinity, onReleased: () => undefined, now });
}
