/**
 * @module
 * Divides the memory of a process among what callers and upstreams make it hold.
 */

/** Limits of what is held, in bytes. */
export interface MemoryPlan {
    /** Bodies of requests, with what else each request in progress takes. */
    readonly bodyBytes: number;
    /** Answers that are collected, not written out, or wait for the end of an event. */
    readonly answerBytes: number;
    /** Connections that wait to be parsed: what was read of them, and what the system may hold unread. */
    readonly unparsedBytes: number;
    /** Requests that were sent behind others on their connection. */
    readonly pipelinedBytes: number;
}

const megabyte = 1_048_576;

/** The program itself, its views of the fleet, and objects that are not collected yet, in bytes. */
const programBytes = 96 * megabyte;

/** Shares of the rest; what is left is for allocations between which memory lies unused. */
const shares = { body: 0.4, answer: 0.2, unparsed: 0.1, pipelined: 0.08 } as const;

/** Shares of all memory that are enough. */
const maxShares = { body: 0.32, answer: 0.16, unparsed: 0.08, pipelined: 0.06 } as const;

/** Smallest limits, which leave room for single requests and answers of any allowed size, in bytes. */
const minBytes = {
    body: 12 * megabyte,
    answer: 12 * megabyte,
    unparsed: 2 * megabyte,
    pipelined: 2 * megabyte,
} as const;

/**
 * Computes the limits.
 *
 * @param memoryBytes - Memory that the process is allowed, in bytes.
 * @returns The limits.
 * @example
 * planMemory(200 * 1_048_576).bodyBytes; // 43_620_761, a little over 40 MB
 */
export function planMemory(memoryBytes: number): MemoryPlan {
    const restBytes = Math.max(0, memoryBytes - programBytes);
    const limit = (purpose: keyof typeof shares) =>
        Math.max(
            minBytes[purpose],
            Math.floor(Math.min(restBytes * shares[purpose], memoryBytes * maxShares[purpose])),
        );
    const plan = { bodyBytes: limit("body"), answerBytes: limit("answer"), pipelinedBytes: limit("pipelined") };
    const leftBytes = restBytes - plan.bodyBytes - plan.answerBytes - plan.pipelinedBytes;
    const unparsedBytes = Math.max(minBytes.unparsed, Math.min(limit("unparsed"), leftBytes));
    return { ...plan, unparsedBytes };
}
