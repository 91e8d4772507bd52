/**
 * @module
 * Decides what the status of an answer is, for sends of callers' requests and for an instance's own calls.
 */

/**
 * What a status is (RFC 9110, section 15).
 *
 * - `interim`: a final answer follows.
 * - `final`: the answer is the one to the request.
 * - `invalid`: it is no status; the answer says nothing. */
export type StatusClass = "interim" | "final" | "invalid";

const firstInterim = 100;
const firstFinal = 200;
const firstBeyond = 600;

/**
 * Classifies the status of an answer.
 *
 * @param status - The status, as its status line states it.
 * @returns What it is.
 * @example
 * classifyStatus(600); // "invalid"
 */
export function classifyStatus(status: number): StatusClass {
    if (status >= firstFinal && status < firstBeyond) {
        return "final";
    }
    return status >= firstInterim && status < firstFinal ? "interim" : "invalid";
}
