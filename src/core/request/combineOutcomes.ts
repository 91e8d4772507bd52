/**
 * @module
 * Combined execution outcome of several attempts of a request.
 */
import type { ExecutionOutcome } from "../errors/errorTable.js";

const certainty: Readonly<Record<ExecutionOutcome, number>> = { notRun: 0, unknown: 1, run: 2 };

/**
 * Combines the outcomes of two attempts: the result is "notRun" only when neither ran.
 *
 * @param left - Combined outcome of the previous attempts.
 * @param right - Outcome of the latest attempt.
 * @returns The outcome of the request.
 * @example
 * combineOutcomes("unknown", "notRun"); // "unknown"
 */
export function combineOutcomes(left: ExecutionOutcome, right: ExecutionOutcome): ExecutionOutcome {
    return certainty[left] >= certainty[right] ? left : right;
}
