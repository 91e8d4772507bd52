/**
 * @module
 * Spreads the delays of callers that were refused together, so that they do not come back all at once.
 */
import { hashText } from "./hashText.js";

/** Part by which delays differ at most. */
const spreadPart = 0.5;

/** Values of a hash over which delays are spread. */
const spreadSteps = 1_024n;

/**
 * Lengthens a delay by a part that depends on the caller's request.
 *
 * @param delayMs - The shortest delay, in milliseconds.
 * @param requestId - Id of the request.
 * @returns The delay, in whole milliseconds; less than half as long again.
 * @example
 * spreadDelay(400, req.id); // from 400 to 600
 */
export function spreadDelay(delayMs: number, requestId: string): number {
    const part = Number(hashText(requestId) % spreadSteps) / Number(spreadSteps);
    return Math.round(delayMs * (1 + spreadPart * part));
}
