/**
 * @module
 * Steps that give callers' requests answers of many forms and check what reaches the callers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { ScriptedRequest } from "../../fakes/startScriptedUpstream.js";
import type { RequestKind } from "../../src/core/routes/routingTable.js";
import { connectionEndings } from "../support/connectionEndings.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { type AnswerPath, type AnswerPathCall, type CallerView, startAnswerPath } from "../support/startAnswerPath.js";

type Script = (req: ScriptedRequest) => void;

interface JudgementRun {
    readonly path: AnswerPath;
    readonly views: readonly CallerView[];
}

/** The bytes of an answer, and how its connection ends. */
interface AnswerForm {
    readonly head: string;
    readonly body: string;
    readonly end?: string;
}

const scripts = new WeakMap<SiteWorld, readonly Script[]>();
const runs = new WeakMap<SiteWorld, JudgementRun>();

const id = "Attempt-Id: attempt-1\r\n";
const seal = "Server-Seal: s\r\n";
const own = id + seal;
const typed = "Content-Type: text/event-stream\r\n";
const chunked = "Transfer-Encoding: chunked\r\n";
const lastChunk = "0\r\n\r\n";
const refused = "Not-Executed: 1\r\n";

function toChunk(text: string): string {
    return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

function sized(body: string): string {
    return `Content-Length: ${Buffer.byteLength(body)}\r\n`;
}

function listEvents(first: number, last: number): readonly number[] {
    return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

function writeEvents(ids: readonly number[], lineEnd = "\n"): string {
    return ids.map(one => `id: ${one}${lineEnd}data: event ${one}${lineEnd}${lineEnd}`).join("");
}

function toStream(headers: string, ...parts: readonly string[]): AnswerForm {
    return { head: `HTTP/1.1 200 OK\r\n${headers}${chunked}\r\n`, body: parts.map(toChunk).join("") + lastChunk };
}

function toSized(status: string, headers: string, body: string): AnswerForm {
    return { head: `HTTP/1.1 ${status}\r\n${headers}${sized(body)}\r\n`, body };
}

const goingOn = writeEvents(listEvents(3, 5));
const startingAgain = writeEvents(listEvents(0, 5));
const page = "<html>\n\n<body>busy</body>\n\n</html>\n\n";
const html = "Content-Type: text/html\r\n";

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

function findForm(name: string): AnswerForm {
    const form = forms[name];
    assert.ok(form !== undefined, name);
    return form;
}

function answerWith({ head, body, end = "waits" }: AnswerForm): Script {
    return ({ socket }) => {
        socket.write(head + body);
        connectionEndings.get(end)?.(socket);
    };
}

function addScript(world: SiteWorld, script: Script): void {
    scripts.set(world, [...scripts.get(world) ?? [], script]);
}

const kinds: Readonly<Record<string, Pick<AnswerPathCall, "kind" | "isResumable">>> = {
    "request that must not run twice": { kind: "nonIdempotent", isResumable: false },
    "request that may be repeated": { kind: "idempotent", isResumable: false },
    "stream that cannot be resumed": { kind: "stream", isResumable: false },
    "stream that can be resumed": { kind: "stream", isResumable: true },
};

function findKind(name: string): { readonly kind: RequestKind; readonly isResumable: boolean; } {
    const kind = kinds[name];
    assert.ok(kind !== undefined, name);
    return kind;
}

async function startPath(world: SiteWorld): Promise<AnswerPath> {
    const path = await startAnswerPath(scripts.get(world) ?? []);
    world.cleanups.push(path.stop);
    return path;
}

async function callOnce(world: SiteWorld, call: Partial<AnswerPathCall>): Promise<void> {
    const path = await startPath(world);
    const whole = { id: "attempt-1", kind: "stream", isResumable: true, attempts: 2, ...call } as const;
    runs.set(world, { path, views: [await path.call(whole)] });
}

function getRun(world: SiteWorld): JudgementRun {
    const run = runs.get(world);
    assert.ok(run !== undefined);
    return run;
}

function getView(world: SiteWorld): CallerView {
    const view = getRun(world).views.at(-1);
    assert.ok(view !== undefined);
    return view;
}

function readId(text: string): string {
    return /attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
}

Given(
    /^an upstream that writes a (\d+) (with its|without an) id once more on a kept connection ahead of an answer$/,
    function(this: SiteWorld, status: string, naming: string) {
        const earlier = naming === "with its" ? "Attempt-Id: earlier\r\n" : "";
        addScript(this, ({ text, index, socket }) => {
            const answer = `HTTP/1.1 200 OK\r\nAttempt-Id: ${readId(text)}\r\n${seal}${typed}${
                sized(goingOn)
            }\r\n${goingOn}`;
            const refusal = `HTTP/1.1 ${status} Busy\r\n${earlier}${refused}Content-Length: 0\r\n\r\n`;
            socket.write(index === 0 ? answer : refusal + answer);
        });
        addScript(this, ({ text, socket }) => {
            socket.write(
                `HTTP/1.1 200 OK\r\nAttempt-Id: ${readId(text)}\r\n${seal}${typed}${sized(goingOn)}\r\n${goingOn}`,
            );
        });
    },
);

When(
    /^a (.+) follows on that connection, with at most (\d+) attempts$/,
    async function(this: SiteWorld, kind: string, attempts: string) {
        const path = await startPath(this);
        const call = { ...findKind(kind), attempts: Number(attempts) };
        const first = await path.call({ ...call, id: "attempt-1" });
        assert.equal(first.status, 200);
        await new Promise(resolve => setImmediate(resolve));
        runs.set(this, { path, views: [await path.call({ ...call, id: "attempt-2" })] });
    },
);

Then(
    "its caller gets {int} and it is sent to {int} other upstreams",
    function(this: SiteWorld, status: number, others: number) {
        const { path } = getRun(this);
        assert.equal(path.upstreams[0]?.countConnections(), 1);
        assert.deepEqual({ status: getView(this).status, others: path.upstreams[1]?.requests.length }, {
            status,
            others,
        });
        assert.equal(path.countDiscarded(), 1);
    },
);

Given(/^an upstream whose stream (.+) after its events 0, 1 and 2$/, function(this: SiteWorld, end: string) {
    const begun = writeEvents(listEvents(0, 2));
    addScript(
        this,
        end === "resets"
            ? answerWith({ ...toStream(own + typed), body: toChunk(begun), end: "resets" })
            : answerWith({ ...toStream(own + typed, begun, "id: 3\nda"), end: "waits" }),
    );
});

Given(/^a next upstream that answers with (.+)$/, function(this: SiteWorld, form: string) {
    addScript(this, answerWith(findForm(form)));
});

Given(/^an upstream for a caller that answers with (.+)$/, function(this: SiteWorld, form: string) {
    addScript(this, answerWith(findForm(form)));
});

When("the caller asks for that stream", async function(this: SiteWorld) {
    await callOnce(this, {});
});

When("the caller asks for that stream, with at most {int} attempts", async function(this: SiteWorld, attempts: number) {
    await callOnce(this, { attempts });
});

Then(
    /^the caller has the events (.+) and its stream is (whole|cut)$/,
    function(this: SiteWorld, listed: string, end: string) {
        const [first, last] = listed.split(" to ").map(Number);
        const ids = last === undefined ? listed.split(", ").map(Number) : listEvents(first!, last);
        const { status, body, isComplete } = getView(this);
        assert.deepEqual({ status, isComplete }, { status: 200, isComplete: end === "whole" });
        const events = body.replaceAll("\r", "").replaceAll(/^: .*\n\n/gm, "");
        // What is written in the turn in which a stream is aborted may be dropped with its connection.
        const dueEvents = isComplete ? writeEvents(ids) : writeEvents(ids).slice(0, events.length);
        assert.equal(events, dueEvents);
        assert.ok(events.startsWith(writeEvents([0, 1, 2])));
        assert.equal(getRun(this).path.upstreams.at(-1)?.requests.length, 1);
    },
);

When("the caller resumes a stream after event {int}", async function(this: SiteWorld, lastEventId: number) {
    await callOnce(this, { lastEventId: String(lastEventId) });
});

Then(
    /^its caller gets the upstream's (\d+) with the body of (.+)$/,
    function(this: SiteWorld, status: string, form: string) {
        const { body: received, headers, isComplete, ...view } = getView(this);
        const body = bodies[form] ?? findForm(form).body;
        assert.deepEqual(
            { status: view.status, received, isComplete, sealed: headers["server-seal"] },
            { status: Number(status), received: body, isComplete: true, sealed: "s" },
        );
    },
);

When(/^a (.+) is asked for by (\w+)$/, async function(this: SiteWorld, kind: string, method: string) {
    await callOnce(this, { ...findKind(kind), attempts: 1, method });
});

Then(/^its caller gets (\d+) (from it|of our own)$/, function(this: SiteWorld, status: string, origin: string) {
    const { headers, isComplete, ...view } = getView(this);
    const sealed = origin === "from it" ? "s" : undefined;
    assert.deepEqual(
        { status: view.status, isComplete, sealed: headers["server-seal"] },
        { status: Number(status), isComplete: true, sealed },
    );
    if (view.status === 204) {
        assert.equal(headers["content-length"], undefined);
    }
});

When(
    /^the head of (a success|a refusal) is cut at each byte and its connection (\S+), for a (.+)$/,
    async function(this: SiteWorld, answer: string, end: string, kind: string) {
        const { head } = answer === "a success"
            ? toSized("200 OK", own + typed, "body")
            : findForm("a refusal with the id");
        addScript(this, ({ text, socket }) => {
            const attempt = readId(text);
            socket.write(head.replace("attempt-1", attempt).slice(0, Number(attempt.slice("attempt-".length))));
            connectionEndings.get(end)?.(socket);
        });
        const path = await startPath(this);
        const calls = Array.from(
            { length: head.length - 1 },
            (_, index) => path.call({ id: `attempt-${index + 1}`, ...findKind(kind), attempts: 1 }),
        );
        runs.set(this, { path, views: await Promise.all(calls) });
    },
);

Then("each caller gets a 502 of our own", function(this: SiteWorld) {
    const { views } = getRun(this);
    assert.ok(views.length > 0);
    views.forEach(({ status, isComplete, headers }, index) =>
        assert.deepEqual(
            { index, status, isComplete, sealed: headers["server-seal"] },
            { index, status: 502, isComplete: true, sealed: undefined },
        )
    );
});
