/**
 * @module
 * Steps that send requests to scripted upstreams over loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createPlainPlacement, createProxyRequest, createRecord } from "../../bench/support/proxyFixtures.js";
import {
    type ScriptedRequest,
    type ScriptedUpstream,
    startScriptedUpstream,
} from "../../fakes/startScriptedUpstream.js";
import type { AnswerEnd } from "../../src/core/proxy/answerEnd.js";
import type { ProxyRequest, SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import type { RequestKind } from "../../src/core/routes/routingTable.js";
import type { Clock } from "../../src/core/time/clock.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import type { CallerExchange } from "../../src/io/proxy/createCallerExchange.js";
import { createConnectionPool } from "../../src/io/proxy/createConnectionPool.js";
import { connectTimeoutMs } from "../../src/io/proxy/createUpstreamSender.js";
import type { SendToUpstream } from "../../src/io/proxy/upstreamSenderTypes.js";
import { connectionEndings, flushMs } from "../support/connectionEndings.js";
import { createSenderFixture } from "../support/createSenderFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface Caller extends CallerExchange {
    readonly disconnect: () => void;
    readonly received: () => string;
    readonly hasEnded: () => boolean;
}

interface SendFixture {
    readonly upstream: ScriptedUpstream;
    readonly send: SendToUpstream;
    readonly clock: Clock;
    readonly caller: Caller;
    readonly outcomes: SendOutcome[];
    readonly countOpened: () => number;
    /** Ends of the answers, as reported by the sender. */
    readonly ends: readonly AnswerEnd[];
}

const fixtures = new WeakMap<SiteWorld, SendFixture>();

function getFixture(world: SiteWorld): SendFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

const id = "Attempt-Id: attempt-1\r\n";
const seal = "Server-Seal: s\r\n";

const unframedStream = `HTTP/1.1 200 OK\r\n${id}${seal}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`;

const answers: Readonly<Record<string, string>> = {
    "a complete body": `HTTP/1.1 200 OK\r\n${id}${seal}Content-Length: 4\r\n\r\nbody`,
    "a body without a length": `HTTP/1.1 200 OK\r\n${id}${seal}Connection: close\r\n\r\nbody`,
    "a body without a length or an announced close": `HTTP/1.1 200 OK\r\n${id}${seal}\r\nbody`,
    "half a body without a length": `HTTP/1.1 200 OK\r\n${id}${seal}Connection: close\r\n\r\nbo`,
    "half a body with a length": `HTTP/1.1 200 OK\r\n${id}${seal}Content-Length: 4\r\n\r\nbo`,
    "half a chunked body": `HTTP/1.1 200 OK\r\n${id}${seal}Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n`,
    "half a chunked body and \"Connection: close\"": `HTTP/1.1 200 OK\r\n${id}${seal}Connection: close\r\n`
        + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n",
    "half a body with a length and \"Connection: close\"": `HTTP/1.1 200 OK\r\n${id}${seal}Connection: close\r\n`
        + "Content-Length: 4\r\n\r\nbo",
    "nothing": "",
    "an answer to another request": "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 4\r\n\r\nbody",
    "an answer without an id": `HTTP/1.1 200 OK\r\n${seal}Content-Length: 4\r\n\r\nbody`,
    "bytes that are no answer": "}{ not http\r\n\r\n",
    "a rejection before it ran": `HTTP/1.1 503 Busy\r\n${id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    "a rejection without an id": "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "a rejection of another instance": `HTTP/1.1 421 Misdirected\r\n${id}Instance-Id: u-2\r\nContent-Length: 0\r\n\r\n`,
    "a rejection of another instance without an id":
        "HTTP/1.1 421 Misdirected\r\nInstance-Id: u-2\r\nContent-Length: 0\r\n\r\n",
    "a failure with its seal": `HTTP/1.1 500 Failed\r\n${id}${seal}Content-Length: 4\r\n\r\nbody`,
    "one event and a half": `HTTP/1.1 200 OK\r\n${id}${seal}Content-Type: text/event-stream\r\n`
        + "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 7\ndata: a\n\nid: 8\r\n",
    "a stream that ends within an event": `${unframedStream}id: 7\ndata: a\n\nid: 8\nda`,
    "a stream that ends after an event": `${unframedStream}id: 7\ndata: a\n\nid: 8\ndata: b\n\n`,
    "a stream whose lines end with CRLF": `${unframedStream}id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: b\r\n\r\n`,
    "a stream whose lines end with CR": `${unframedStream}id: 7\rdata: a\r\rid: 8\rdata: b\r\r`,
    "a stream that ends after a comment": `${unframedStream}id: 7\ndata: a\n\n: still here\n`,
    "a stream without events": unframedStream,
    "a stream of comments": `${unframedStream}: still here\n\n`,
    "a chunked stream without events": `HTTP/1.1 200 OK\r\n${id}${seal}Content-Type: text/event-stream\r\n`
        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a chunked stream whose last chunk ends within an event": `HTTP/1.1 200 OK\r\n${id}${seal}`
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 7\ndata: a\n\nid: 8\r\n0\r\n\r\n",
    "a JSON document": `HTTP/1.1 200 OK\r\n${id}${seal}Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}`,
};

function createCaller(): Caller {
    const actions = new Set<() => void>();
    let received = "";
    let hasBegun = false;
    let hasEnded = false;
    return {
        isDisconnected: () => false,
        onDisconnect: action => {
            actions.add(action);
            return () => actions.delete(action);
        },
        hasStarted: () => hasBegun,
        startStream: () => {
            hasBegun = true;
        },
        writeChunk: bytes => {
            received += Buffer.from(bytes).toString();
            return true;
        },
        onDrained: () => undefined,
        endStream: () => {
            hasEnded = true;
        },
        answer: () => undefined,
        refuse: () => undefined,
        abort: () => undefined,
        disconnect: () => [...actions].forEach(action => action()),
        received: () => received,
        hasEnded: () => hasEnded,
    };
}

async function start(
    world: SiteWorld,
    answer: (req: ScriptedRequest) => void,
    clock = createSystemClock(),
): Promise<void> {
    const upstream = await startScriptedUpstream(answer);
    const pool = createConnectionPool(clock);
    const ends: AnswerEnd[] = [];
    const send = createSenderFixture({
        clock,
        connections: pool,
        onAnswerEnd: (...[, , end]) => ends.push(end),
    });
    fixtures.set(world, {
        upstream,
        send,
        clock,
        caller: createCaller(),
        outcomes: [],
        countOpened: pool.countOpened,
        ends,
    });
    world.cleanups.push(async () => {
        pool.close();
        await upstream.stop();
    });
}

function send(fixture: SendFixture, req: ProxyRequest, needsFreshConnection: boolean): Promise<SendOutcome> {
    const placement = createPlainPlacement(createRecord({ address: fixture.upstream.address }));
    const due = { ...req, deadlineMs: fixture.clock.now() + 3_000 };
    return new Promise(resolve => {
        const effect = {
            kind: "send",
            placement,
            needsFreshConnection,
            lastEventId: undefined,
            mayBeReplaced: () => true,
        } as const;
        fixture.send(due, effect, fixture.caller, outcome => {
            fixture.outcomes.push(outcome);
            resolve(outcome);
        });
    });
}

Given("an upstream that answers with {word} {} and then {}", async function(this: SiteWorld, article, rest, end) {
    const bytes = answers[`${article} ${rest}`];
    assert.ok(bytes !== undefined, `${article} ${rest}`);
    await start(this, ({ socket }) => {
        socket.write(bytes);
        connectionEndings.get(end)?.(socket);
    });
});

Given("an upstream that answers with a rejection that states a delay of {string}", async function(
    this: SiteWorld,
    stated: string,
) {
    const head = `HTTP/1.1 503 Busy\r\n${id}Not-Executed: 1\r\nRetry-After: ${stated}\r\nContent-Length: 0\r\n\r\n`;
    await start(this, ({ socket }) => socket.write(head));
});

Then("the request may return after {string} ms", function(this: SiteWorld, delayMs: string) {
    const [outcome] = getFixture(this).outcomes;
    assert.ok(outcome?.kind === "rejected");
    assert.equal(String(outcome.retryAfterMs ?? "none"), delayMs);
});

Given("an upstream that answers with nothing and then {word}", async function(this: SiteWorld, end: string) {
    await start(this, ({ socket }) => connectionEndings.get(end)?.(socket));
});

Given("an upstream that sends each answer twice", async function(this: SiteWorld) {
    await start(this, ({ text, socket }) => {
        const own = /attempt-id: (\S+)/i.exec(text)?.[1];
        const answer = `HTTP/1.1 200 OK\r\nAttempt-Id: ${own}\r\nContent-Length: 9\r\n\r\n${own}`;
        socket.write(answer);
        // The second answer arrives when the next request awaits its answer.
        setTimeout(() => socket.write(answer), flushMs);
    });
});

Given(
    "an upstream whose connection opens in the same event loop turn as the connect timeout",
    async function(this: SiteWorld) {
        const clock = createSystemClock();
        // The connect timeout fires before the event loop has polled the socket for the first time.
        const immediateTimeoutClock: Clock = {
            ...clock,
            after: (delayMs, action) => {
                if (delayMs !== connectTimeoutMs) {
                    return clock.after(delayMs, action);
                }
                queueMicrotask(action);
                return () => undefined;
            },
        };
        await start(this, ({ socket }) => socket.write(answers["a complete body"]!), immediateTimeoutClock);
    },
);

When("a {string} request is sent to it", async function(this: SiteWorld, kind: RequestKind) {
    await send(getFixture(this), createProxyRequest(kind), true);
});

When("a resumable stream is sent to it", async function(this: SiteWorld) {
    await send(getFixture(this), createProxyRequest("stream", {}, true), false);
});

When("a stream that cannot be resumed is sent to it", async function(this: SiteWorld) {
    await send(getFixture(this), createProxyRequest("stream"), true);
});

When("two requests are sent to it one after the other", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    for (const name of ["attempt-1", "attempt-2"]) {
        const headers = [["host", "h"], ["attempt-id", name]] as const;
        await send(fixture, createProxyRequest("idempotent", { id: name, headers }), false);
        await new Promise(resolve => setTimeout(resolve, flushMs / 2));
    }
});

When(
    "a {string} request follows another one after {int} ms",
    async function(this: SiteWorld, kind: RequestKind, delayMs) {
        const fixture = getFixture(this);
        await send(fixture, createProxyRequest(kind), true);
        await new Promise(resolve => setTimeout(resolve, delayMs));
        await send(fixture, createProxyRequest(kind), true);
    },
);

When(
    "a {string} request follows another one in the same turn of the event loop",
    async function(this: SiteWorld, kind: RequestKind) {
        const fixture = getFixture(this);
        await send(fixture, createProxyRequest(kind), true);
        await new Promise(resolve => setImmediate(resolve));
        await send(fixture, createProxyRequest(kind), true);
    },
);

When("the caller of a {string} request disconnects", async function(this: SiteWorld, kind: RequestKind) {
    const fixture = getFixture(this);
    const sent = send(fixture, createProxyRequest(kind), true);
    while (fixture.upstream.requests.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    fixture.caller.disconnect();
    await sent;
});

Then("the outcome is {string}", function(this: SiteWorld, kind: string) {
    assert.deepEqual(getFixture(this).outcomes.map(outcome => outcome.kind), [kind]);
});

Then(
    "the answer is reported as {string} with its connection {string}",
    function(this: SiteWorld, framing: string, connection: string) {
        const reported = getFixture(this).ends.map(end => [end.framing, end.connection]);
        assert.deepEqual(reported, [[framing, connection]]);
    },
);

Then("the caller's stream is not ended as complete", function(this: SiteWorld) {
    assert.equal(getFixture(this).caller.hasEnded(), false);
});

Then("the upstream has received no request", async function(this: SiteWorld) {
    await new Promise(resolve => setTimeout(resolve, flushMs * 4));
    assert.deepEqual(getFixture(this).upstream.requests, []);
});

Then("each gets its own answer or none", function(this: SiteWorld) {
    const { outcomes } = getFixture(this);
    assert.equal(outcomes.length, 2);
    outcomes.forEach((outcome, index) => {
        if (outcome.kind === "answered") {
            assert.equal(Buffer.from(outcome.answer.body).toString(), `attempt-${index + 1}`);
        }
    });
});

Then("two connections were opened", function(this: SiteWorld) {
    assert.equal(getFixture(this).upstream.countConnections(), 2);
});

Then("the pool opened two connections", function(this: SiteWorld) {
    assert.equal(getFixture(this).countOpened(), 2);
});

Then("the upstream's connection is closed", async function(this: SiteWorld) {
    const { upstream } = getFixture(this);
    await new Promise(resolve => setTimeout(resolve, flushMs));
    assert.equal(upstream.requests.length, 1);
});

Then("the caller has received one complete event with its id", function(this: SiteWorld) {
    const { caller, outcomes } = getFixture(this);
    assert.equal(caller.received(), "id: 7\ndata: a\n\n");
    const [outcome] = outcomes;
    assert.ok(outcome?.kind === "lost");
    assert.equal(outcome.delivered?.lastEventId, "7");
});
