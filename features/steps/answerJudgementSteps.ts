/**
 * @module
 * Steps that give callers' requests answers of many forms and check what reaches the callers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { ScriptedRequest } from "../../fakes/startScriptedUpstream.js";
import type { RequestKind } from "../../src/core/routes/routingTable.js";
import {
    type AnswerForm,
    findBody,
    findForm,
    goingOn,
    listEvents,
    own,
    refused,
    seal,
    sized,
    toChunk,
    toSized,
    toStream,
    typed,
    writeEvents,
} from "../support/answerForms.js";
import { connectionEndings } from "../support/connectionEndings.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { type AnswerPath, type AnswerPathCall, type CallerView, startAnswerPath } from "../support/startAnswerPath.js";

type Script = (req: ScriptedRequest) => void;

interface JudgementRun {
    readonly path: AnswerPath;
    readonly views: readonly CallerView[];
}

const scripts = new WeakMap<SiteWorld, readonly Script[]>();
const runs = new WeakMap<SiteWorld, JudgementRun>();

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
        const body = findBody(form);
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
