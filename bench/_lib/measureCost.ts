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
const memoryRepeats = 5;

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

function readHeldBytes(): number {
    collectGarbage();
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

function measureBytesOnce(create: () => unknown): number {
    const before = readHeldBytes();
    const held = create();
    const bytes = readHeldBytes() - before;
    return held === undefined ? 0 : bytes;
}

/**
 * Measures the memory that a value keeps alive.
 *
 * @param create - Creates the value.
 * @param copies - Values that are held together, so that a small one stands out of the noise.
 * @returns Bytes of heap and buffers of one value after garbage collection, the median of several repeats.
 */
export function measureBytes(create: () => unknown, copies = 1): number {
    create();
    const createAll = () => Array.from({ length: copies }, create);
    const measured = Array.from({ length: memoryRepeats }, () => measureBytesOnce(createAll) / copies);
    return measured.sort((left, right) => left - right)[Math.floor(memoryRepeats / 2)]!;
}
