/**
 * @module
 * Reports when the heap of objects is nearly full. A process whose heap is full ends without a line of its own.
 */

/** Use of the heap, in bytes. */
export interface HeapUse {
    readonly usedBytes: number;
    /** Size at which the process ends. */
    readonly limitBytes: number;
}

/** Watches the heap. */
export interface HeapWatch {
    /** Looks at the heap now. */
    readonly check: () => void;
}

/** Share of the limit from which the heap counts as nearly full. */
const nearlyFullShare = 0.75;

/** Share of the limit below which it no longer does. */
const relievedShare = 0.6;

/**
 * Creates a watch of a heap that is not nearly full.
 *
 * @param readHeap - Reads the use of the heap.
 * @param onNearlyFull - Receives the use once each time the heap has become nearly full.
 * @returns The watch.
 * @example
 * createHeapWatch(readHeap, use => writeLog("heapNearlyFull", { ...use })).check();
 */
export function createHeapWatch(readHeap: () => HeapUse, onNearlyFull: (use: HeapUse) => void): HeapWatch {
    let isNearlyFull = false;
    return {
        check: () => {
            const use = readHeap();
            const share = use.usedBytes / use.limitBytes;
            if (!isNearlyFull && share >= nearlyFullShare) {
                isNearlyFull = true;
                onNearlyFull(use);
            }
            else if (share < relievedShare) {
                isNearlyFull = false;
            }
        },
    };
}
