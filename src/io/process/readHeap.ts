/**
 * @module
 * Reads the use of the heap of this process.
 */
import { getHeapStatistics } from "node:v8";
import type { HeapUse } from "../../core/memory/createHeapWatch.js";

/**
 * Reads the use of the heap.
 *
 * @returns The bytes in use, and those at which the process ends.
 */
export function readHeap(): HeapUse {
    const { used_heap_size: usedBytes, heap_size_limit: limitBytes } = getHeapStatistics();
    return { usedBytes, limitBytes };
}
