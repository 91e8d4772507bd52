/**
 * @module
 * Makes a refusal consistent with the execution outcome of all attempts of a request.
 */
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import { errorTable, type ExecutionOutcome } from "../errors/errorTable.js";

/**
 * Replaces a refusal whose kind contradicts the outcome of all attempts: for example one that states "not run" when an
 * attempt has run or may have run.
 *
 * @param refusal - The refusal of the latest attempt.
 * @param outcome - Combined outcome of all attempts.
 * @returns A refusal whose kind is consistent with the outcome.
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
