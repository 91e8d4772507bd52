/**
 * @module
 * Reads how much of the heap is used by what is still held.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Rounds after which nothing is left that a finalizer or a callback of an earlier turn still held. */
const collections = 3;

/**
 * Collects garbage, and reads the use of the heap.
 *
 * @returns The bytes that are still held.
 */
export async function readHeapBytes(): Promise<number> {
    for (let round = 0; round < collections; round += 1) {
        collectGarbage();
        await new Promise(resolve => setImmediate(resolve));
    }
    return process.memoryUsage().heapUsed;
}
