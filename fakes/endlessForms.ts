/**
 * @module
 * Forms of answers that never end.
 */

/** An answer that never ends. */
export interface EndlessForm {
    readonly name: string;
    /** Creates what is sent first, from the id of the attempt that it answers. */
    readonly createFirst: (attempt: string) => string;
    /** What is repeated until the connection is closed. */
    readonly repeated: string;
}

/** Creates the head of an answer. */
function answerHead(attempt: string, lines = "", status = "200 OK"): string {
    return `HTTP/1.1 ${status}\r\nAttempt-Id: ${attempt}\r\nServer-Seal: s\r\n${lines}\r\n`;
}

const chunked = "Transfer-Encoding: chunked\r\n";
const eventStream = `Content-Type: text/event-stream\r\n${chunked}`;

function chunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** The forms. */
export const endlessForms: readonly EndlessForm[] = [
    {
        name: "a body in large blocks",
        createFirst: attempt => answerHead(attempt, "Connection: close\r\n"),
        repeated: "a".repeat(65_536),
    },
    {
        name: "events without framing",
        createFirst: attempt => answerHead(attempt, "Content-Type: text/event-stream\r\nConnection: close\r\n"),
        repeated: "id: 1\ndata: x\n\n",
    },
    {
        name: "a body in chunks of one byte",
        createFirst: attempt => answerHead(attempt, chunked),
        repeated: chunk("a"),
    },
    {
        name: "a rejection in chunks of one byte",
        createFirst: attempt => answerHead(attempt, `${chunked}Not-Executed: 1\r\n`, "503 Busy"),
        repeated: chunk("a"),
    },
    {
        name: "line ends, one a chunk",
        createFirst: attempt => answerHead(attempt, eventStream),
        repeated: chunk("\n"),
    },
    {
        name: "comments, one a chunk",
        createFirst: attempt => answerHead(attempt, eventStream),
        repeated: chunk(": x\n"),
    },
    {
        name: "events, one a chunk",
        createFirst: attempt => answerHead(attempt, eventStream),
        repeated: chunk("id: 1\ndata: x\n\n"),
    },
];
