/**
 * @module
 * How far one body and one answer may go beyond the limits of all of them.
 */
import { type MemoryPlan, planMemory } from "./planMemory.js";

/** Shares of all memory that a single one may use, with what others hold. */
const singleShares = { body: 0.32, answer: 0.16 } as const;

/**
 * Computes the limits up to which bodies, and answers, may hold memory when one of them alone goes beyond the limit of all. A
 * large one within the configuration finds room in calm, and many at once hold little more than their limit.
 *
 * @param memoryBytes - Memory that the process is allowed, in bytes.
 * @returns The limits, at least those of {@link planMemory}.
 * @example
 * planSingleMemory(128 * 1_048_576).bodyBytes; // 42_949_672, a little over 40 MB
 */
export function planSingleMemory(memoryBytes: number): Pick<MemoryPlan, "bodyBytes" | "answerBytes"> {
    const { bodyBytes, answerBytes } = planMemory(memoryBytes);
    return {
        bodyBytes: Math.max(bodyBytes, Math.floor(memoryBytes * singleShares.body)),
        answerBytes: Math.max(answerBytes, Math.floor(memoryBytes * singleShares.answer)),
    };
}
