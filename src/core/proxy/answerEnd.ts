/**
 * @module
 * How an upstream's answer ended, as seen on its connection.
 */

/** What marks the end of an answer: its stated length, its last chunk, or the end of the connection. */
export type AnswerFraming = "contentLength" | "chunked" | "connectionClose";

/** State of the upstream's side of a connection: open, closed in order, or failed, for example by a reset. */
export type ConnectionState = "open" | "closed" | "reset";

/** The end of an event stream. */
export interface EventStreamEnd {
    /** Whether an event was complete; comments are none. */
    readonly hasEvents: boolean;
    /** Id of the last complete event that has one. */
    readonly lastEventId: string | undefined;
    /** Number of bytes of the incomplete event at the end. */
    readonly unfinishedBytes: number;
}

/** How an answer ended. */
export interface AnswerEnd {
    readonly framing: AnswerFraming;
    /** State of the connection when the end of the answer was reported. */
    readonly connection: ConnectionState;
    /** Undefined for an answer that is not an event stream. */
    readonly eventStream: EventStreamEnd | undefined;
}
