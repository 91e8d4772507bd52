/**
 * @module
 * Decides whether an upstream's answer is complete.
 */
import type { AnswerEnd } from "./answerEnd.js";

/**
 * Finds why an answer is incomplete. The decision depends on the answer alone, not on how it is delivered.
 *
 * @param end - How the answer ended.
 * @returns The reason; undefined for a complete answer.
 * @example
 * const eventStream = { hasEvents: true, lastEventId: "7", unfinishedBytes: 12 };
 * findIncompleteReason({ framing: "connectionClose", connection: "closed", eventStream });
 */
export function findIncompleteReason(end: AnswerEnd): string | undefined {
    if (end.connection === "reset") {
        return "the connection was reset before the answer was complete";
    }
    const { eventStream } = end;
    if (eventStream === undefined) {
        return undefined;
    }
    if (eventStream.unfinishedBytes > 0) {
        return "the stream ended in the middle of an event";
    }
    return end.connection === "closed" && !eventStream.hasEvents
        ? "the connection was closed before the first event"
        : undefined;
}
