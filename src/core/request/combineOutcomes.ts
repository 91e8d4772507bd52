/**
 * @module
 * What is known about a request after several attempts.
 */
import type { ExecutionOutcome } from "../errors/errorTable.js";

const certainty: Readonly<Record<ExecutionOutcome, number>> = { notRun: 0, unknown: 1, run: 2 };

/**
 * Combines the outcomes of two attempts: "notRun" stands only when both were not run.
 *
 * @param left - Outcome of the attempts before.
 * @param right - Outcome of the latest attempt.
 * @returns The outcome of the request.
 * @example
 * combineOutcomes("unknown", "notRun"); // "unknown"
 */
export function combineOutcomes(left: ExecutionOutcome, right: ExecutionOutcome): ExecutionOutcome {
    return certainty[left] >= certainty[right] ? left : right;
}
