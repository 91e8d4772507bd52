/**
 * @module
 * Forms of answers that never end: what comes first, and what is repeated until the connection is closed.
 */

/** How the repeated bytes are framed; the sender draws the sizes of chunks. */
export type EndlessFraming = "none" | "chunks" | "extendedChunks";

/** What the head of an answer takes over. */
export interface AnsweredRequest {
    /** Id of the attempt; empty for calls that have none. */
    readonly attempt: string;
    /** Further lines of the head, each with its line end. */
    readonly lines?: string;
}

/** An answer that never ends. */
export interface EndlessForm {
    readonly name: string;
    /** Whether its head states that the request was not run. */
    readonly isRejection: boolean;
    /** Whether the first bytes are a complete answer. */
    readonly beginsComplete: boolean;
    /** Creates what is sent first. */
    readonly createFirst: (answered: AnsweredRequest) => string;
    readonly repeated: string;
    readonly framing: EndlessFraming;
}

const blockBytes = 16_384;
const filler = "a".repeat(blockBytes);
const statedBytes = 100_000_000_000;

/** Body of the first answer where a complete one comes first. */
export const completeFirstAnswer = "ok";

const eventStream = "Content-Type: text/event-stream\r\n";
const chunked = "Transfer-Encoding: chunked\r\n";
const untilClosed = "Connection: close\r\n";
const notExecuted = "Not-Executed: 1\r\n";

/** Creates a head without the line that ends it. */
function startHead({ attempt, lines: more = "" }: AnsweredRequest, lines = "", status = "200 OK"): string {
    return `HTTP/1.1 ${status}\r\nAttempt-Id: ${attempt}\r\nServer-Seal: s\r\n${more}${lines}`;
}

interface FormOptions {
    readonly lines?: string;
    readonly status?: string | undefined;
    readonly framing?: EndlessFraming;
    /** What follows the head before the repeated bytes; with `isHead`, the head has not ended. */
    readonly start?: string;
    readonly isHead?: boolean;
}

function createForm(name: string, repeated: string, options: FormOptions = {}): EndlessForm {
    const { lines = "", status, framing = "none", start = "", isHead = false } = options;
    const headEnd = isHead ? "" : "\r\n";
    return {
        name,
        isRejection: lines.includes(notExecuted),
        beginsComplete: false,
        createFirst: answered => `${startHead(answered, lines, status)}${headEnd}${start}`,
        repeated,
        framing,
    };
}

/** Bytes that are no answer from the first one on. */
function createRawForm(name: string, first: string, repeated: string): EndlessForm {
    return { ...createForm(name, repeated), createFirst: () => first };
}

/** A body or a stream, once in chunks and once until the connection is closed. */
function createBodyForms(name: string, repeated: string, lines: string, status?: string): readonly EndlessForm[] {
    return [
        createForm(`${name} in chunks`, repeated, { lines: lines + chunked, status, framing: "chunks" }),
        createForm(`${name} without framing`, repeated, { lines: lines + untilClosed, status }),
    ];
}

const headForms: readonly EndlessForm[] = [
    createForm("one line of a head", filler, { isHead: true, start: "X-Filler: " }),
    createForm("lines of a head", "X-Filler: a\r\n", { isHead: true }),
    createForm("folded lines of a head", " a\r\n", { isHead: true, start: "X-Filler: a\r\n" }),
    createRawForm("a status line", "HTTP/1.1 200 ", filler),
    createRawForm("informational heads", "", "HTTP/1.1 103 Early Hints\r\nX-Filler: a\r\n\r\n"),
];

const bodyForms: readonly EndlessForm[] = [
    ...createBodyForms("a body", filler, ""),
    ...createBodyForms("a rejection", filler, notExecuted, "503 Busy"),
    ...createBodyForms("a failure", filler, "", "500 Failed"),
    createForm("a body of a stated length", filler, { lines: `Content-Length: ${statedBytes}\r\n` }),
    createForm("a chunk's extension", filler, { lines: chunked, start: "5;a=" }),
    createForm("trailers", filler, { lines: chunked, start: "0\r\nX-Filler: " }),
    createForm("lines of trailers", "X-Filler: a\r\n", { lines: chunked, start: "0\r\n" }),
    createForm("a body behind extensions", filler, { lines: chunked, framing: "extendedChunks" }),
];

const streamForms: readonly EndlessForm[] = [
    ...createBodyForms("line ends", "\n", eventStream),
    ...createBodyForms("comments", ": x\n", eventStream),
    ...createBodyForms("ids", "id: 1\n", eventStream),
    ...createBodyForms("events", "id: 1\ndata: x\n\n", eventStream),
    createForm("an event", filler, { lines: eventStream, start: "id: 1\ndata: " }),
    createForm("an event in lines", "data: a\n", { lines: eventStream, start: "id: 1\n" }),
    createForm("an event in lines of chunks", "data: a\n", { lines: eventStream + chunked, framing: "chunks" }),
    createForm("events behind extensions", "id: 1\ndata: x\n\n", {
        lines: eventStream + chunked,
        framing: "extendedChunks",
    }),
];

const otherForms: readonly EndlessForm[] = [
    createRawForm("bytes that are no answer", "}{ not http", filler),
    createRawForm("zeros", "", "\0".repeat(blockBytes)),
    {
        ...createForm(
            "answers one after another",
            `${startHead({ attempt: "other" }, "Content-Length: 2\r\n")}\r\nno`,
            {
                lines: "Content-Length: 2\r\n",
                start: completeFirstAnswer,
            },
        ),
        beginsComplete: true,
    },
];

/** Every form. */
export const endlessForms: readonly EndlessForm[] = [...headForms, ...bodyForms, ...streamForms, ...otherForms];

/** Finds a form by its name; throws if there is none. */
export function findEndlessForm(name: string): EndlessForm {
    const form = endlessForms.find(candidate => candidate.name === name);
    if (form === undefined) {
        throw new Error(`unknown form; forms: ${endlessForms.map(candidate => candidate.name).join(", ")}`);
    }
    return form;
}
