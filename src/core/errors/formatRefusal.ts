/**
 * @module
 * The JSON error body of a refusal.
 */
import type { Refusal } from "./createRefusal.js";
import { type ErrorKind, errorTable, type ExecutionOutcome, type RetryAdvice } from "./errorTable.js";

/** The error body, in the shape that OpenAI clients expect, with the router's own fields beside it. */
export interface ErrorBody {
    readonly error: {
        readonly message: string;
        readonly type: "reedward_error";
        readonly code: ErrorKind;
        readonly outcome: ExecutionOutcome;
        readonly advice: RetryAdvice;
        readonly request_id: string;
    };
}

/**
 * Formats a refusal as an error body.
 *
 * @param refusal - The refusal to format.
 * @param requestId - Id of the request that is refused.
 * @returns The body to be sent as JSON.
 * @example
 * formatRefusal(createRefusal("stopping", "drain was ordered"), "r-1").error.code; // "stopping"
 */
export function formatRefusal(refusal: Refusal, requestId: string): ErrorBody {
    const row = errorTable[refusal.kind];
    return {
        error: {
            message: `${row.sentence} ${refusal.detail}`.trim(),
            type: "reedward_error",
            code: refusal.kind,
            outcome: row.outcome,
            advice: row.advice,
            request_id: requestId,
        },
    };
}
