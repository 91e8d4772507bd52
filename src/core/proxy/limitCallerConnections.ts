/**
 * @module
 * How many connections of callers an instance keeps open.
 */

/** What the platform allows a process. */
export interface ProcessLimits {
    readonly maxDescriptors: number;
    readonly memoryBytes: number;
}

/** Descriptors that the platform reserves for files. */
const fileDescriptors = 200;

/** Sockets for the store, peers, the state of upstreams and the other listeners. */
const otherSockets = 300;

/** Sockets that a request in progress takes: its caller's and its upstream's. */
const socketsPerRequest = 2;

/** Memory that a connection with a request in progress takes besides bodies, in bytes. */
const connectionBytes = 24 * 1_024;

/** Share of the memory for connections. */
const memoryShare = 0.25;

/**
 * Computes the maximum number of connections of callers.
 *
 * @param limits - What the platform allows the process.
 * @returns The number, at least 1.
 * @example
 * limitCallerConnections({ maxDescriptors: 4_100, memoryBytes: 200 * 1_048_576 }); // 1800
 */
export function limitCallerConnections(limits: ProcessLimits): number {
    const sockets = limits.maxDescriptors - fileDescriptors - otherSockets;
    const byDescriptors = sockets / socketsPerRequest;
    const byMemory = limits.memoryBytes * memoryShare / connectionBytes;
    return Math.max(1, Math.floor(Math.min(byDescriptors, byMemory)));
}
