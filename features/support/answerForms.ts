/**
 * @module
 * Forms of answers that scripted upstreams give to the request "attempt-1".
 */
import assert from "node:assert/strict";

/** The bytes of an answer, and how its connection ends. */
export interface AnswerForm {
    readonly head: string;
    readonly body: string;
    readonly end?: string;
}

const id = "Attempt-Id: attempt-1\r\n";
/** Header of the upstream's seal. */
export const seal = "Server-Seal: s\r\n";
/** Headers that make an answer the request's own. */
export const own = id + seal;
/** Header of an event stream. */
export const typed = "Content-Type: text/event-stream\r\n";
const chunked = "Transfer-Encoding: chunked\r\n";
const lastChunk = "0\r\n\r\n";
/** Header by which an upstream states that it did not run the request. */
export const refused = "Not-Executed: 1\r\n";

/** Writes a chunk of a body. */
export function toChunk(text: string): string {
    return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Writes the header that states the length of a body. */
export function sized(body: string): string {
    return `Content-Length: ${Buffer.byteLength(body)}\r\n`;
}

/** Lists ids from the first to the last. */
export function listEvents(first: number, last: number): readonly number[] {
    return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

/** Writes events with the ids. */
export function writeEvents(ids: readonly number[], lineEnd = "\n"): string {
    return ids.map(one => `id: ${one}${lineEnd}data: event ${one}${lineEnd}${lineEnd}`).join("");
}

/** Writes a chunked success. */
export function toStream(headers: string, ...parts: readonly string[]): AnswerForm {
    return { head: `HTTP/1.1 200 OK\r\n${headers}${chunked}\r\n`, body: parts.map(toChunk).join("") + lastChunk };
}

/** Writes an answer with a stated length. */
export function toSized(status: string, headers: string, body: string): AnswerForm {
    return { head: `HTTP/1.1 ${status}\r\n${headers}${sized(body)}\r\n`, body };
}

/** Events that go on after event 2. */
export const goingOn = writeEvents(listEvents(3, 5));
const startingAgain = writeEvents(listEvents(0, 5));
const page = "<html>\n\n<body>busy</body>\n\n</html>\n\n";
const html = "Content-Type: text/html\r\n";

const oddStatuses = ["000", "001", "099", "0", "20", "599", "600", "999", "1000"];

const forms: Readonly<Record<string, AnswerForm>> = {
    "events 3 to 5": toStream(own + typed, goingOn),
    "events 3 to 5 whose lines end with CRLF": toStream(own + typed, writeEvents(listEvents(3, 5), "\r\n")),
    "events 3 to 5 without a stated type": toStream(own, goingOn),
    "a comment and events 3 to 5": toStream(own + typed, ": still here\n\n", goingOn),
    "events 3 to 5 that end in the middle of event 6": toStream(own + typed, `${goingOn}id: 6\ndata: ev`),
    "events 0 to 5": toStream(own + typed, startingAgain),
    "events 2 to 5": toStream(own + typed, writeEvents(listEvents(2, 5))),
    "event 3 and then events 0 to 5": toStream(own + typed, writeEvents([3]), ": pause\n\n", startingAgain),
    "events 10 to 12": toStream(own + typed, writeEvents(listEvents(10, 12))),
    "events without ids": toStream(own + typed, "data: event\n\ndata: event\n\n"),
    "events whose ids are no numbers": toStream(own + typed, "id: a\ndata: event\n\nid: b\ndata: event\n\n"),
    "a 204": { head: `HTTP/1.1 204 No Content\r\n${own}\r\n`, body: "" },
    "a 200 without type and body": toSized("200 OK", own, ""),
    "an event stream of length 0": toSized("200 OK", own + typed, ""),
    "an event stream without events, in chunks": toStream(own + typed),
    "an event stream of comments, in chunks": toStream(own + typed, ": still here\n\n"),
    "an HTML page": toSized("200 OK", own + html, page),
    "an HTML page without a stated type": toSized("200 OK", own, page),
    "a JSON document": toSized("200 OK", `${own}Content-Type: application/json\r\n`, "{}"),
    "a 500 with a body": toSized("500 Failed", own, "failed\n\n"),
    "a 500 without a body": toSized("500 Failed", own, ""),
    "a 500 with events 3 to 5": toSized("500 Failed", own + typed, goingOn),
    "a 404 in chunks": { head: `HTTP/1.1 404 None\r\n${own}${chunked}\r\n`, body: toChunk("none\n\n") + lastChunk },
    "a 302": toSized("302 Found", `${own}Location: /\r\n`, ""),
    "a 101": { head: `HTTP/1.1 101 Switching\r\n${own}Upgrade: other\r\nConnection: upgrade\r\n\r\n`, body: "" },
    "a 503 that states nothing": toSized("503 Busy", own, "busy"),
    "a 429 that states nothing": toSized("429 Busy", own, "busy"),
    "a refusal with the id": toSized("503 Busy", id + refused, ""),
    "a refusal without an id": toSized("503 Busy", refused, ""),
    "half a head": { head: `HTTP/1.1 200 OK\r\n${own}Content-`, body: "", end: "closes" },
    "events 3 to 5 with the id of another request": toStream(`Attempt-Id: other\r\n${seal}${typed}`, goingOn),
    "events 3 to 5 without an id of the request": toStream(seal + typed, goingOn),
    "events 3 to 5 without a seal": toStream(id + typed, goingOn),
    "events 3 to 5 with a content encoding": toStream(`${own + typed}Content-Encoding: gzip\r\n`, goingOn),
    "a head that states 4 bytes": { head: `HTTP/1.1 200 OK\r\n${own}Content-Length: 4\r\n\r\n`, body: "" },
    "a body that is longer than stated": {
        head: `HTTP/1.1 200 OK\r\n${own}Content-Length: 4\r\n\r\n`,
        body: "bodymore",
    },
    "a body that is shorter than stated": {
        head: `HTTP/1.1 200 OK\r\n${own}Content-Length: 4\r\n\r\n`,
        body: "bo",
        end: "closes",
    },
    "a body with two lengths": {
        head: `HTTP/1.1 200 OK\r\n${own}Content-Length: 4\r\nContent-Length: 2\r\n\r\n`,
        body: "body",
    },
    "a body with a length and in chunks": {
        head: `HTTP/1.1 200 OK\r\n${own}Content-Length: 4\r\n${chunked}\r\n`,
        body: toChunk("body") + lastChunk,
    },
    "a body in chunks with trailers": {
        head: `HTTP/1.1 200 OK\r\n${own}${chunked}Trailer: Attempt-Id\r\n\r\n`,
        body: `${toChunk("body")}0\r\nAttempt-Id: other\r\n\r\n`,
    },
    "a success with two ids": toSized("200 OK", `${own}Attempt-Id: other\r\n`, "body"),
    "a success without a seal": toSized("200 OK", id, "body"),
    "a success with a content encoding": toSized("200 OK", `${own}Content-Encoding: gzip\r\n`, "body"),
    "a success that states that it did not run": toSized("200 OK", own + refused, "body"),
    "a status of 600 that states that it did not run": toSized("600 Odd", own + refused, "body"),
    "events 3 to 5 with a status of 600": toSized("600 Odd", own + typed, goingOn),
    "a status of 600 without a length": { head: `HTTP/1.1 600 Odd\r\n${own}\r\n`, body: "body", end: "closes" },
    "a status of 000 without a length": { head: `HTTP/1.1 000 Odd\r\n${own}\r\n`, body: "body", end: "closes" },
    "a status line without a reason": toSized("200", own, "body"),
    "events and no reason": toSized("200", own + typed, goingOn),
    "an answer in HTTP/1.0": { head: `HTTP/1.0 200 OK\r\n${own}${sized("body")}\r\n`, body: "body" },
    "an answer in HTTP/1.2": { head: `HTTP/1.2 200 OK\r\n${own}${sized("body")}\r\n`, body: "body" },
    "an answer in HTTP/3.0": { head: `HTTP/3.0 200 OK\r\n${own}${sized("body")}\r\n`, body: "body" },
    ...Object.fromEntries(oddStatuses.map(status => [`a status of ${status}`, toSized(`${status} Odd`, own, "body")])),
};

/** Bodies that reach a caller otherwise than as the connection carries them. */
const bodies: Readonly<Record<string, string>> = {
    "events 3 to 5": goingOn,
    "events 0 to 5": startingAgain,
    "an event stream without events, in chunks": "",
    "a 404 in chunks": "none\n\n",
    "a body that is longer than stated": "body",
    "a body in chunks with trailers": "body",
};

/** Finds a form by its name. */
export function findForm(name: string): AnswerForm {
    const form = forms[name];
    assert.ok(form !== undefined, name);
    return form;
}

/** Finds the body that reaches a caller of a form. */
export function findBody(name: string): string {
    return bodies[name] ?? findForm(name).body;
}
