/**
 * @module
 * Decides from the end of an upstream's answer whether the answer is complete for the request that was sent.
 */
import type { AnswerEnd } from "./answerEnd.js";
import { findIncompleteReason } from "./findIncompleteReason.js";
import type { TakenAnswerUse } from "./judgeAnswerHead.js";

/**
 * Judges the end of an answer. A continuation without events does not show whether the caller has the whole stream, so it
 * does not end the stream: a caller whose stream is aborted can resume it, one whose stream ends has no reason to.
 *
 * @param use - What the answer is worth by its head.
 * @param end - How it ended.
 * @returns Why it is incomplete; undefined for a complete answer.
 * @example
 * judgeAnswerEnd({ kind: "continuation" }, { framing: "chunked", connection: "open", eventStream });
 */
export function judgeAnswerEnd(use: TakenAnswerUse, end: AnswerEnd): string | undefined {
    const hasNoEvents = end.eventStream?.hasEvents !== true;
    return findIncompleteReason(end)
        ?? (use.kind === "continuation" && hasNoEvents
            ? "the stream ended without an event that goes on"
            : undefined);
}
