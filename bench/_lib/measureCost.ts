/**
 * @module
 * Measures the processor time and memory of an operation in this process.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const warmUpRuns = 50;
const minCpuMicroseconds = 60_000;
const cpuRepetitions = 3;
const memoryRepetitions = 5;

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
            if (spent >= minCpuMicroseconds) {
                return spent / runs;
            }
        }
    }
}

/**
 * Measures the processor time of one call.
 *
 * @param action - The call.
 * @returns Microseconds per call, the minimum of several repetitions.
 */
export function measureCpuMicroseconds(action: () => void): number {
    for (let run = 0; run < warmUpRuns; run += 1) {
        action();
    }
    return Math.min(...Array.from({ length: cpuRepetitions }, () => measureOnce(action)));
}

function readRetainedBytes(): number {
    collectGarbage();
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

function measureBytesOnce(create: () => unknown): number {
    const before = readRetainedBytes();
    const value = create();
    const bytes = readRetainedBytes() - before;
    return value === undefined ? 0 : bytes;
}

/**
 * Measures the memory that a value retains.
 *
 * @param create - Creates the value.
 * @param copies - Number of values that are measured together, so that the size of a small one exceeds the noise.
 * @returns Bytes of heap and buffers per value after garbage collection, the median of several repetitions.
 */
export function measureBytes(create: () => unknown, copies = 1): number {
    create();
    const createAll = () => Array.from({ length: copies }, create);
    const measured = Array.from({ length: memoryRepetitions }, () => measureBytesOnce(createAll) / copies);
    return measured.sort((left, right) => left - right)[Math.floor(memoryRepetitions / 2)]!;
}
