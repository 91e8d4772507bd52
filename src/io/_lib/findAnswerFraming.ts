/**
 * @module
 * Reads from an answer's headers what marks its end.
 */
import type { AnswerFraming } from "../../core/proxy/answerEnd.js";

/**
 * Finds what marks the end of an answer. Chunks take precedence over a length.
 *
 * @param hasHeader - Whether the answer has a header, by its lower-case name.
 * @returns The framing.
 * @example
 * findAnswerFraming(name => name === "content-length"); // "contentLength"
 */
export function findAnswerFraming(hasHeader: (name: string) => boolean): AnswerFraming {
    if (hasHeader("transfer-encoding")) {
        return "chunked";
    }
    return hasHeader("content-length") ? "contentLength" : "connectionClose";
}
