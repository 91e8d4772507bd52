/**
 * @module
 * Steps on what waits to be written to callers that read late or not at all.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type AnswerMemory, createAnswerMemory } from "../../src/core/proxy/createAnswerMemory.js";
import { type CallerExchange, createCallerExchange } from "../../src/io/proxy/createCallerExchange.js";
import { waitUntil } from "../support/platformFixture.js";
import { readChunks } from "../support/readChunks.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { streamHead } from "../support/streamHead.js";

interface UnreadStream {
    readonly exchange: CallerExchange;
    readonly socket: Socket;
    /** What the caller has received, in Latin-1. */
    readonly received: () => string;
    /** Lets the caller read. */
    readonly read: () => void;
}

interface UnreadFixture {
    memory: AnswerMemory;
    streams: readonly UnreadStream[];
    readonly evicted: Set<number>;
    pieces: readonly string[];
}

const fixtures = new WeakMap<SiteWorld, UnreadFixture>();
const bytesPerKilobyte = 1_024;

function getFixture(world: SiteWorld): UnreadFixture {
    const fixture = fixtures.get(world) ?? {
        memory: createAnswerMemory(Infinity),
        streams: [],
        evicted: new Set<number>(),
        pieces: [],
    };
    fixtures.set(world, fixture);
    return fixture;
}

async function openConnection(world: SiteWorld, server: Server): Promise<Socket> {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.on("error", () => undefined);
    world.cleanups.push(() => {
        socket.destroy();
        server.closeAllConnections();
        server.close();
    });
    return socket;
}

/** Begins a stream to a caller that reads nothing yet. */
async function openStream(world: SiteWorld, method = "GET", number = 0): Promise<UnreadStream> {
    const { memory, evicted } = getFixture(world);
    const server = createServer();
    const socket = await openConnection(world, server);
    socket.pause();
    let received = "";
    socket.on("data", (bytes: Buffer) => {
        received += bytes.toString("latin1");
    });
    socket.pause();
    socket.write(`${method} /letters HTTP/1.1\r\nHost: letters.example\r\n\r\n`);
    const [, res] = await once(server, "request");
    const exchange = createCallerExchange(res, {
        requestId: "attempt-1",
        isClosing: () => false,
        holdStream: memory.open,
        onStreamEvicted: () => evicted.add(number),
    });
    exchange.startStream(streamHead);
    return { exchange, socket, received: () => received, read: () => void socket.resume() };
}

/** Returns the body of a chunked answer that has arrived whole. */
async function readBody(stream: UnreadStream): Promise<readonly string[]> {
    stream.read();
    await waitUntil("the stream has ended", () => stream.received().endsWith("\r\n0\r\n\r\n"));
    return readChunks(stream.received());
}

Given(/^a caller's connection whose stream (to a HEAD request )?has begun$/, async function(
    this: SiteWorld,
    head: string | undefined,
) {
    const method = typeof head === "string" ? "HEAD" : "GET";
    getFixture(this).streams = [await openStream(this, method)];
});

When("{int} pieces of the stream arrive in one turn, and it ends", function(this: SiteWorld, count: number) {
    const fixture = getFixture(this);
    fixture.pieces = Array.from({ length: count }, (_, index) => `id: ${index}\n\n`);
    const { exchange } = fixture.streams[0]!;
    fixture.pieces.forEach(piece => exchange.writeChunk(Buffer.from(piece)));
    exchange.endStream();
});

Then("the caller has all of them in order, in at most {int} chunks", async function(this: SiteWorld, most: number) {
    const { streams, pieces } = getFixture(this);
    const chunks = await readBody(streams[0]!);
    assert.equal(chunks.join(""), pieces.join(""));
    assert.ok(chunks.length <= most, `${chunks.length} chunks`);
});

Then("the caller has the head alone, and the stream holds nothing", async function(this: SiteWorld) {
    const { streams, memory } = getFixture(this);
    const [stream] = streams;
    stream!.read();
    await waitUntil("the head has arrived", () => stream!.received().endsWith("\r\n\r\n"));
    await waitUntil("nothing is held", () => memory.totalBytes() === 0);
    assert.equal(stream!.received().indexOf("\r\n\r\n"), stream!.received().length - "\r\n\r\n".length);
});

/** Writes pieces in order, and waits wherever the stream says so; the caller reads from its first pause on. */
async function writePieces(stream: UnreadStream, pieces: readonly string[]): Promise<void> {
    for (const piece of pieces) {
        const mayGoOn = stream.exchange.writeChunk(Buffer.from(piece));
        if (!mayGoOn) {
            const drained = new Promise<void>(resolve => stream.exchange.onDrained(resolve));
            stream.read();
            await drained;
            stream.socket.pause();
        }
    }
    stream.exchange.endStream();
}

Then(
    "over {int} random streams with seed {int} a caller that reads late has every byte, and at most {int} KB wait",
    async function(this: SiteWorld, runs: number, seed: number, kilobytes: number) {
        let mostHeld = 0;
        const fixture = getFixture(this);
        fixture.memory = {
            ...createAnswerMemory(Infinity),
            open: () => ({
                set: bytes => {
                    mostHeld = Math.max(mostHeld, bytes);
                },
                close: () => undefined,
            }),
        };
        const sizes = fc.array(fc.integer({ min: 1, max: 20_000 }), { minLength: 1, maxLength: 600 });
        await fc.assert(
            fc.asyncProperty(sizes, async lengths => {
                const stream = await openStream(this);
                const pieces = lengths.map((length, index) => String(index % 10).repeat(length));
                await writePieces(stream, pieces);
                assert.equal((await readBody(stream)).join(""), pieces.join(""));
                stream.socket.destroy();
            }),
            { numRuns: runs, seed, endOnFailure: true },
        );
        assert.ok(mostHeld <= kilobytes * bytesPerKilobyte, `${mostHeld} bytes`);
    },
);

Given("a memory of {int} bytes for what waits to be written", function(this: SiteWorld, maxBytes: number) {
    getFixture(this).memory = createAnswerMemory(maxBytes);
});

/** Number of turns without room after which a caller's connection counts as full. */
const fullTurns = 50;

/** Writes short pieces until the stream has to wait and stays so. */
async function fill({ exchange }: UnreadStream, isEvicted: () => boolean): Promise<void> {
    const piece = Buffer.alloc(1_000, "x");
    let isWaiting = false;
    let turns = 0;
    while (turns < fullTurns && !isEvicted()) {
        if (!isWaiting && !exchange.writeChunk(piece)) {
            isWaiting = true;
            turns = 0;
            exchange.onDrained(() => {
                isWaiting = false;
            });
        }
        if (isWaiting) {
            turns += 1;
            await new Promise<void>(resolve => setImmediate(resolve));
        }
    }
}

When(
    "the streams of {int} callers that read nothing are written until they wait",
    async function(this: SiteWorld, callers: number) {
        const fixture = getFixture(this);
        for (let number = 0; number < callers; number += 1) {
            const stream = await openStream(this, "GET", number);
            fixture.streams = [...fixture.streams, stream];
            await fill(stream, () => fixture.evicted.has(number));
        }
    },
);

Then(
    "the stream of at least 1 caller was ended, and that of another one goes on",
    async function(this: SiteWorld) {
        const { streams, evicted } = getFixture(this);
        assert.ok(evicted.size >= 1 && evicted.size < streams.length, `${evicted.size} were ended`);
        const number = streams.findIndex((_, index) => !evicted.has(index));
        streams[number]!.exchange.endStream();
        await readBody(streams[number]!);
    },
);

Then("what waits to be written is at most {int} bytes", function(this: SiteWorld, bytes: number) {
    const { memory } = getFixture(this);
    assert.ok(memory.totalBytes() <= bytes, `${memory.totalBytes()} bytes`);
});
