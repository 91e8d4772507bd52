/**
 * @module
 * Steps on the requests of callers at an instance that was told to stop, over loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { ScriptedRequest } from "../../fakes/startScriptedUpstream.js";
import type { RequestKind } from "../../src/core/routes/routingTable.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { type CallerRecord, startStoppingProxy, type StoppingProxy, waitUntil } from "../support/startStoppingProxy.js";

interface Play {
    readonly proxy: StoppingProxy;
    /** The request that the scenario is about. */
    caller: CallerRecord | undefined;
    /** Number of requests that upstreams had received before the scenario answers the next one. */
    answered: number;
}

/** What the connections with two requests have received. */
const connections = new WeakMap<SiteWorld, () => string>();

const plays = new WeakMap<SiteWorld, Play>();

const statuses = { answered: 200, notRun: 503, unknown: 502 } as const;

/** Time to the deadline of requests that are answered at once, in milliseconds. */
const shortDeadlineMs = 2_000;

/** Time after the order at which every request has its final answer, with a grace period of 8 s, in milliseconds. */
const answersOverMs = 7_600;

function getPlay(world: SiteWorld): Play {
    const play = plays.get(world);
    assert.ok(play !== undefined);
    return play;
}

function describeHead(req: ScriptedRequest, status: string): string {
    const header = (name: string) => new RegExp(`^${name}: (.*)$`, "im").exec(req.text)?.[1]?.trim() ?? "";
    return `HTTP/1.1 ${status}\r\nattempt-id: ${header("attempt-id")}\r\ninstance-id: ${header("expect-instance")}\r\n`;
}

const isStream = (req: ScriptedRequest) => req.text.startsWith("POST /stream/");

function startStream(req: ScriptedRequest): void {
    const head = describeHead(req, "200 OK");
    req.socket.write(`${head}server-seal: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`);
}

function writeEvent(req: ScriptedRequest, id: number): void {
    const event = `id: ${id}\ndata: word ${id}\n\n`;
    req.socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
}

function answer(req: ScriptedRequest): void {
    if (isStream(req)) {
        startStream(req);
        writeEvent(req, 1);
        req.socket.write("0\r\n\r\n");
        return;
    }
    req.socket.write(`${describeHead(req, "200 OK")}server-seal: s\r\ncontent-length: 2\r\n\r\nok`);
}

async function receiveNext({ proxy, answered }: Play): Promise<ScriptedRequest> {
    await waitUntil(() => proxy.received.length > answered, "an upstream receives the request");
    return proxy.received[answered]!;
}

/** The request that an upstream has received last. */
function getReceived({ proxy }: Play): ScriptedRequest {
    const req = proxy.received.at(-1);
    assert.ok(req !== undefined);
    return req;
}

Given(
    /^a proxy with a grace period of (\d+) ms and (\d+) upstreams? of (\d+) slots?$/,
    async function(this: SiteWorld, graceMs: string, upstreams: string, slots: string) {
        const proxy = await startStoppingProxy({
            graceMs: Number(graceMs),
            upstreams: Number(upstreams),
            slots: Number(slots),
        });
        this.cleanups.push(proxy.stop);
        plays.set(this, { proxy, caller: undefined, answered: 0 });
    },
);

Given("a {string} request that its upstream answers at once", async function(this: SiteWorld, kind: string) {
    const play = getPlay(this);
    const caller = play.proxy.call({ kind: kind as RequestKind, deadlineMs: shortDeadlineMs });
    answer(await receiveNext(play));
    play.answered += 1;
    await waitUntil(() => caller.isOver && play.proxy.countActive() === 0, "the request is over");
    assert.deepEqual([caller.status, caller.isComplete], [statuses.answered, true]);
});

Given(
    "a {string} request with a deadline of {int} ms that its upstream has received",
    async function(this: SiteWorld, kind: string, deadlineMs: number) {
        const play = getPlay(this);
        play.caller = play.proxy.call({ kind: kind as RequestKind, deadlineMs });
        await receiveNext(play);
        play.answered += 1;
    },
);

Given(
    "a {string} request with a deadline of {int} ms whose first event the caller has",
    async function(this: SiteWorld, kind: string, deadlineMs: number) {
        const play = getPlay(this);
        const caller = play.proxy.call({ kind: kind as RequestKind, deadlineMs });
        const req = await receiveNext(play);
        startStream(req);
        writeEvent(req, 1);
        await waitUntil(() => caller.body.includes("word 1"), "the caller has the first event");
        play.caller = caller;
        play.answered += 1;
    },
);

Given(
    "a {string} request with a deadline of {int} ms that waits",
    async function(this: SiteWorld, kind: string, deadlineMs: number) {
        const play = getPlay(this);
        play.caller = play.proxy.call({ kind: kind as RequestKind, deadlineMs });
        await waitUntil(() => play.proxy.countWaiting() > 0, "the request waits");
    },
);

Given(
    "a {string} request with a deadline of {int} ms of whose body half has arrived",
    async function(this: SiteWorld, kind: string, deadlineMs: number) {
        const play = getPlay(this);
        play.caller = play.proxy.call({ kind: kind as RequestKind, deadlineMs, isHalf: true });
        await waitUntil(() => play.proxy.countActive() > 0, "the request is received");
    },
);

When("the proxy is told to stop", function(this: SiteWorld) {
    getPlay(this).proxy.beginStop();
});

When(
    "{int} ms later a {string} request with a deadline of {int} ms arrives",
    async function(this: SiteWorld, afterMs: number, kind: string, deadlineMs: number) {
        const play = getPlay(this);
        await play.proxy.advanceTo(afterMs);
        play.caller = play.proxy.call({ kind: kind as RequestKind, deadlineMs });
    },
);

When("{int} ms pass", async function(this: SiteWorld, afterMs: number) {
    await getPlay(this).proxy.advanceTo(afterMs);
});

When("{int} ms later its upstream breaks off", async function(this: SiteWorld, afterMs: number) {
    const play = getPlay(this);
    await play.proxy.advanceTo(afterMs);
    getReceived(play).socket.resetAndDestroy();
});

When("{int} ms later its upstream writes nothing", async function(this: SiteWorld, afterMs: number) {
    await getPlay(this).proxy.advanceTo(afterMs);
});

When("{int} ms later its upstream rejects it", async function(this: SiteWorld, afterMs: number) {
    const play = getPlay(this);
    await play.proxy.advanceTo(afterMs);
    const req = getReceived(play);
    const head = describeHead(req, "503 Service Unavailable");
    req.socket.write(`${head}not-executed: 1\r\ncontent-length: 0\r\n\r\n`);
});

When("{int} ms later the rest of its body arrives", async function(this: SiteWorld, afterMs: number) {
    const { proxy, caller } = getPlay(this);
    await proxy.advanceTo(afterMs);
    caller?.sendRest();
});

When("the end of the answers passes", async function(this: SiteWorld) {
    await getPlay(this).proxy.advanceTo(answersOverMs);
});

When("the upstream answers the first request", function(this: SiteWorld) {
    answer(getPlay(this).proxy.received[0]!);
});

async function checkEnd(play: Play, status: number): Promise<CallerRecord> {
    const { caller } = play;
    assert.ok(caller !== undefined);
    await waitUntil(() => caller.isOver, "the caller has an answer");
    assert.deepEqual([caller.status, caller.isComplete], [status, true]);
    return caller;
}

Then("the caller is told that it has not run", async function(this: SiteWorld) {
    const play = getPlay(this);
    await checkEnd(play, statuses.notRun);
    assert.equal(play.proxy.received.length, play.answered);
});

Then("the caller is told that it is not known whether it has run", async function(this: SiteWorld) {
    await checkEnd(getPlay(this), statuses.unknown);
});

Then("an upstream answers it", async function(this: SiteWorld) {
    const play = getPlay(this);
    answer(await receiveNext(play));
    await checkEnd(play, statuses.answered);
});

Then(
    "another upstream goes on after the first event, and the caller has the whole stream",
    async function(this: SiteWorld) {
        const play = getPlay(this);
        const req = await receiveNext(play);
        assert.match(req.text, /^last-event-id: 1\r$/im);
        startStream(req);
        writeEvent(req, 2);
        req.socket.write("0\r\n\r\n");
        const caller = await checkEnd(play, statuses.answered);
        assert.equal(caller.body, "id: 1\ndata: word 1\n\nid: 2\ndata: word 2\n\n");
    },
);

Given(
    "two {string} requests with a deadline of {int} ms on one connection that upstreams have received",
    async function(this: SiteWorld, kind: string, deadlineMs: number) {
        const { proxy } = getPlay(this);
        const call = { kind: kind as RequestKind, deadlineMs };
        connections.set(this, proxy.callPipelined([call, call]));
        await waitUntil(() => proxy.received.length === 2, "both requests are at upstreams");
    },
);

When("the upstreams answer both", async function(this: SiteWorld) {
    const { proxy } = getPlay(this);
    const [first, second] = proxy.received.toSorted((one, other) => one.text.localeCompare(other.text));
    answer(first!);
    await waitUntil(() => connections.get(this)!().includes("ok"), "the first answer has arrived");
    answer(second!);
    await waitUntil(() => proxy.countActive() === 0, "both requests have ended");
});

Then(
    "the connection has two answers, of which only the last one announces that it closes",
    async function(this: SiteWorld) {
        const readText = connections.get(this)!;
        await waitUntil(() => readText().split("HTTP/1.1 200 OK").length === 3, "both answers have arrived");
        const [, firstAnswer, lastAnswer] = readText().split("HTTP/1.1 200 OK");
        assert.doesNotMatch(firstAnswer!, /connection: close/i);
        assert.match(lastAnswer!, /connection: close/i);
    },
);
