/**
 * @module
 * Keeps a refusal's outcome true over all attempts of a request.
 */
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import { errorTable, type ExecutionOutcome } from "../errors/errorTable.js";

/**
 * Replaces a refusal whose kind claims "not run" when an attempt may have run or has run.
 *
 * @param refusal - The refusal of the latest attempt.
 * @param outcome - What is known over all attempts.
 * @returns A refusal that tells the truth.
 * @example
 * alignRefusal(createRefusal("noUpstream", ""), "unknown").kind; // "outcomeUnknown"
 */
export function alignRefusal(refusal: Refusal, outcome: ExecutionOutcome): Refusal {
    const claimedOutcome = errorTable[refusal.kind].outcome;
    const isConsistent = claimedOutcome !== "notRun" || outcome === "notRun";
    if (isConsistent && !(refusal.kind === "outcomeUnknown" && outcome === "run")) {
        return refusal;
    }
    const kind = outcome === "run" ? "streamInterrupted" : "outcomeUnknown";
    const detail = `${refusal.kind}: ${refusal.detail}`;
    return createRefusal(
        kind,
        detail,
        refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs },
    );
}
