/**
 * @module
 * Steps on how answers are read: how many pieces in one turn of the event loop, and what a pause does.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { createPlainPlacement, createProxyRequest, createRecord } from "../../bench/support/proxyFixtures.js";
import { type ScriptedUpstream, startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import type { SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import type { CallerExchange } from "../../src/io/proxy/createCallerExchange.js";
import { createConnectionPool } from "../../src/io/proxy/createConnectionPool.js";
import type { SendToUpstream } from "../../src/io/proxy/upstreamSenderTypes.js";
import { createIndifferentCaller, createSenderFixture } from "../support/createSenderFixture.js";
import { waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface ReadingCaller extends CallerExchange {
    readonly pieces: () => number;
    /** Lets the answer go on after each pause. */
    readonly drain: () => void;
}

interface TurnFixture {
    readonly upstream: ScriptedUpstream;
    readonly send: SendToUpstream;
    readonly sockets: Socket[];
    readonly outcomes: SendOutcome[];
    readonly cancels: (() => void)[];
    caller: ReadingCaller | undefined;
    maxPiecesInTurn: number;
    maxUnhandledBytes: number;
}

const fixtures = new WeakMap<SiteWorld, TurnFixture>();
const bytesPerKilobyte = 1_024;

/** Number of turns after which nothing more is expected. */
const maxTurns = 1_000_000;

/** Time until a request's deadline, in milliseconds: longer than a step may take. */
const deadlineMs = 600_000;

const headStart = "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n";
const chunkedHead = `${headStart}Transfer-Encoding: chunked\r\n\r\n`;
const event = "id: 1\ndata: x\n\n";
const eventChunk = `${event.length.toString(16)}\r\n${event}\r\n`;

function getFixture(world: SiteWorld): TurnFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

async function start(world: SiteWorld, answer: (socket: Socket) => void): Promise<void> {
    const upstream = await startScriptedUpstream(({ socket }) => answer(socket));
    const clock = createSystemClock();
    const pool = createConnectionPool(clock);
    const sockets: Socket[] = [];
    const recordSocket = (message: unknown) => {
        sockets.push((message as { readonly socket: Socket; }).socket);
    };
    subscribe("undici:client:connected", recordSocket);
    const send = createSenderFixture({ clock, connections: pool });
    fixtures.set(world, {
        upstream,
        send,
        sockets,
        outcomes: [],
        cancels: [],
        caller: undefined,
        maxPiecesInTurn: 0,
        maxUnhandledBytes: 0,
    });
    world.cleanups.push(async () => {
        unsubscribe("undici:client:connected", recordSocket);
        getFixture(world).cancels.forEach(cancel => cancel());
        pool.close();
        await upstream.stop();
    });
}

Given("an upstream that has sent a stream of {int} short events", async function(this: SiteWorld, events: number) {
    await start(this, socket => socket.write(chunkedHead + eventChunk.repeat(events)));
});

Given(/^an upstream that sends 1 event without a length and (closes|resets)$/, async function(
    this: SiteWorld,
    end: string,
) {
    await start(this, socket => {
        socket.write(`${headStart}Connection: close\r\n\r\n${event}`);
        const fixture = getFixture(this);
        void waitUntil("the caller has it", () => fixture.caller?.pieces() === 1).then(() =>
            end === "closes" ? socket.end() : socket.resetAndDestroy()
        );
    });
});

Given("an upstream that answers each request with 1 event and keeps the connection", async function(this: SiteWorld) {
    await start(this, socket => socket.write(`${chunkedHead}${eventChunk}0\r\n\r\n`));
});

/** Creates a caller that takes everything, or pauses the answer after each piece. */
function createCaller(isPausing: boolean): ReadingCaller {
    let pieces = 0;
    let resume: () => void = () => undefined;
    return {
        ...createIndifferentCaller(),
        writeChunk: () => {
            pieces += 1;
            return !isPausing;
        },
        onDrained: action => {
            resume = action;
        },
        pieces: () => pieces,
        drain: () => resume(),
    };
}

function sendTo(fixture: TurnFixture, caller: CallerExchange): void {
    const req = createProxyRequest("stream", { deadlineMs: createSystemClock().now() + deadlineMs });
    const placement = createPlainPlacement(createRecord({ address: fixture.upstream.address }));
    const effect = {
        kind: "send",
        placement,
        needsFreshConnection: false,
        lastEventId: undefined,
        mayBeReplaced: () => true,
    } as const;
    fixture.cancels.push(fixture.send(req, effect, caller, outcome => fixture.outcomes.push(outcome)));
}

/** Looks at the fixture in each turn until the caller has so many pieces. */
async function receive(fixture: TurnFixture, pieces: number, onTurn: () => void): Promise<void> {
    const caller = fixture.caller!;
    let before = 0;
    for (let turn = 0; turn < maxTurns && caller.pieces() < pieces && fixture.outcomes.length === 0; turn += 1) {
        await new Promise<void>(resolve => setImmediate(resolve));
        fixture.maxPiecesInTurn = Math.max(fixture.maxPiecesInTurn, caller.pieces() - before);
        const unhandled = fixture.sockets.map(socket => socket.readableLength);
        fixture.maxUnhandledBytes = Math.max(fixture.maxUnhandledBytes, ...unhandled);
        before = caller.pieces();
        onTurn();
    }
    assert.ok(caller.pieces() >= pieces, JSON.stringify(fixture.outcomes));
}

When(
    /^a caller that takes (everything|one piece a turn|nothing more) receives (\d+) of them$/,
    async function(this: SiteWorld, kind: string, pieces: string) {
        const fixture = getFixture(this);
        const caller = createCaller(kind !== "everything");
        fixture.caller = caller;
        sendTo(fixture, caller);
        await receive(fixture, Number(pieces), () => kind === "one piece a turn" && caller.drain());
    },
);

Then("at most {int} of them were handled in one turn", function(this: SiteWorld, pieces: number) {
    const { maxPiecesInTurn } = getFixture(this);
    assert.ok(maxPiecesInTurn <= pieces, `${maxPiecesInTurn} pieces`);
});

Then("at most {int} KB of the answer have been read and not handled", function(this: SiteWorld, kilobytes: number) {
    const { maxUnhandledBytes } = getFixture(this);
    assert.ok(maxUnhandledBytes <= kilobytes * bytesPerKilobyte, `${maxUnhandledBytes} bytes`);
});

When("the connection of the answer has ended", async function(this: SiteWorld) {
    const [socket] = getFixture(this).sockets;
    assert.ok(socket !== undefined);
    await waitUntil("the end has arrived", () => socket.destroyed || socket.readableEnded || isEndBuffered(socket));
});

/** Whether the other side has closed, which the reader of a paused connection does not see yet. */
function isEndBuffered(socket: Socket): boolean {
    return (socket as unknown as { readonly _readableState: { readonly ended: boolean; }; })._readableState.ended;
}

When("that caller takes more", function(this: SiteWorld) {
    getFixture(this).caller!.drain();
});

Then("the send has the outcome {string}", async function(this: SiteWorld, kind: string) {
    const { outcomes } = getFixture(this);
    await waitUntil("the send has ended", () => outcomes.length > 0);
    assert.deepEqual(outcomes.map(outcome => outcome.kind), [kind], JSON.stringify(outcomes));
});

When("another request is sent to it", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    // The connection is given back in the turn after the outcome.
    await new Promise<void>(resolve => setImmediate(resolve));
    sendTo(fixture, createCaller(false));
});

Then("both were sent on one connection, and the second one is finished", async function(this: SiteWorld) {
    const { upstream, outcomes } = getFixture(this);
    await waitUntil("the second send has ended", () => outcomes.length === 2);
    assert.deepEqual(outcomes.map(outcome => outcome.kind), ["finished", "finished"]);
    assert.equal(upstream.countConnections(), 1);
});
