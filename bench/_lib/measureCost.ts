/**
 * @module
 * Measures processor time and memory of a piece of work in this process.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const warmUpRuns = 50;
const leastCpuMicroseconds = 60_000;
const repeats = 3;

function readCpuMicroseconds(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
}

function measureOnce(action: () => void): number {
    let runs = 0;
    const startMicroseconds = readCpuMicroseconds();
    for (;;) {
        action();
        runs += 1;
        if (runs % 16 === 0 || runs < 16) {
            const spent = readCpuMicroseconds() - startMicroseconds;
            if (spent >= leastCpuMicroseconds) {
                return spent / runs;
            }
        }
    }
}

/**
 * Measures the processor time of one call.
 *
 * @param action - The call.
 * @returns Microseconds a call, the least of several repeats.
 */
export function measureCpuMicroseconds(action: () => void): number {
    for (let run = 0; run < warmUpRuns; run += 1) {
        action();
    }
    return Math.min(...Array.from({ length: repeats }, () => measureOnce(action)));
}

/**
 * Measures the memory that a value keeps alive.
 *
 * @param create - Creates the value.
 * @returns Bytes of heap and buffers after garbage collection.
 */
export function measureBytes(create: () => unknown): number {
    create();
    collectGarbage();
    const before = process.memoryUsage();
    const held = create();
    collectGarbage();
    const after = process.memoryUsage();
    const bytes = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
    return held === undefined ? 0 : Math.max(0, bytes);
}
