/**
 * @module
 * Steps with peers and servers that send calls and answers in many short pieces.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import { createCallClient } from "../../src/io/_lib/createCallClient.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createPeerServer } from "../../src/io/peers/createPeerServer.js";
import { readHeapBytes } from "../support/readHeapBytes.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface PeerFixture {
    readonly server: Server;
    readonly payloads: string[];
    /** Number of pieces that the server has read. */
    pieces: number;
    socket: Socket | undefined;
    grownBytes: number;
}

const fixtures = new WeakMap<SiteWorld, PeerFixture>();
const secret = "peer-secret";
const bytesPerMegabyte = 1_048_576;

function getFixture(world: SiteWorld): PeerFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

Given("a server of calls from peers", async function(this: SiteWorld) {
    const payloads: string[] = [];
    const service = { applyHints: (payload: string) => payloads.push(payload) };
    const server = createPeerServer(
        service as unknown as Parameters<typeof createPeerServer>[0],
        {} as Parameters<typeof createPeerServer>[1],
        { peerSecret: secret, operatorSecret: "other", onRejected: () => undefined, clock: createSystemClock() },
    );
    const fixture: PeerFixture = { server, payloads, pieces: 0, socket: undefined, grownBytes: 0 };
    server.on("request", req => {
        req.on("data", () => {
            fixture.pieces += 1;
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    fixtures.set(this, fixture);
    this.cleanups.push(() => {
        server.closeAllConnections();
        server.close();
    });
});

function cutIntoChunks(text: string): string {
    return [...text].map(letter => `1\r\n${letter}\r\n`).join("");
}

async function waitForPieces(fixture: PeerFixture, pieces: number): Promise<void> {
    while (fixture.pieces < pieces) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

When(
    "a peer sends a call behind {int} spaces, each byte in a chunk of its own",
    async function(this: SiteWorld, spaces: number) {
        const fixture = getFixture(this);
        const socket = connect((fixture.server.address() as AddressInfo).port, "127.0.0.1");
        const call = " ".repeat(spaces) + JSON.stringify({ payload: "hints" });
        const headers = `host: a\r\nauthorization: Bearer ${secret}\r\ncontent-type: application/json\r\n`;
        socket.write(
            `POST /peer.noteHints HTTP/1.1\r\n${headers}transfer-encoding: chunked\r\n\r\n${cutIntoChunks(" ")}`,
        );
        await waitForPieces(fixture, 1);
        const before = await readHeapBytes();
        socket.write(cutIntoChunks(call.slice(1)));
        await waitForPieces(fixture, call.length);
        fixture.grownBytes = await readHeapBytes() - before;
        fixture.socket = socket;
    },
);

Then("the heap has grown by at most {int} MB", function(this: SiteWorld, megabytes: number) {
    const { grownBytes } = getFixture(this);
    assert.ok(grownBytes <= megabytes * bytesPerMegabyte, `${Math.round(grownBytes / 1_000)} kB`);
});

Then("the call is performed when it is complete", async function(this: SiteWorld) {
    const { socket, payloads } = getFixture(this);
    assert.ok(socket !== undefined);
    const answered = new Promise<string>((resolve, reject) => {
        socket.on("error", reject);
        socket.once("data", bytes => resolve(bytes.toString()));
    });
    socket.write("0\r\n\r\n");
    assert.match(await answered, /^HTTP\/1.1 200 /);
    assert.deepEqual(payloads, ["hints"]);
});

When("somebody without the secret begins a call of {int} bytes", function(this: SiteWorld, bytes: number) {
    const fixture = getFixture(this);
    const socket = connect((fixture.server.address() as AddressInfo).port, "127.0.0.1");
    const headers = `host: a\r\nauthorization: Bearer unknown\r\ncontent-type: application/json\r\n`;
    socket.write(`POST /peer.noteHints HTTP/1.1\r\n${headers}content-length: ${bytes}\r\n\r\n{`);
    fixture.socket = socket;
    this.cleanups.unshift(() => void socket.destroy());
});

Then("the call is refused as forbidden", async function(this: SiteWorld) {
    const { socket } = getFixture(this);
    const [answer] = await once(socket!, "data") as [Buffer];
    assert.match(answer.toString(), /^HTTP\/1.1 403 /);
});

Then("its connection is closed although it sends on", async function(this: SiteWorld) {
    const { socket } = getFixture(this);
    const block = Buffer.alloc(65_536, " ");
    socket!.on("error", () => undefined);
    const closed = new Promise(resolve => socket!.once("close", resolve));
    const sendOn = () => {
        if (socket!.writable) {
            socket!.write(block, () => setImmediate(sendOn));
        }
    };
    sendOn();
    await closed;
});

interface CallFixture {
    readonly address: string;
    turns: number;
    failure: string | undefined;
}

const calls = new WeakMap<SiteWorld, CallFixture>();
const connectTimeoutMs = 10_000;
const callTimeoutMs = 100_000;

Given("a server that answers calls in chunks of one byte without end", async function(this: SiteWorld) {
    const server = await startScriptedUpstream(({ socket }) => {
        const chunks = "1\r\na\r\n".repeat(10_000);
        const writeMore = () => {
            while (!socket.destroyed && socket.write(chunks)) {
                // Goes on until the write buffer is full.
            }
        };
        socket.on("drain", writeMore);
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeMore();
    });
    this.cleanups.push(() => server.stop());
    calls.set(this, { address: server.address, turns: 0, failure: undefined });
});

When("it is called with a limit of {int} bytes for the answer", async function(this: SiteWorld, maxBodyBytes: number) {
    const fixture = calls.get(this)!;
    const client = createCallClient(fixture.address, { connectTimeoutMs, maxBodyBytes });
    const countTurn = () => {
        fixture.turns += 1;
        turn = setImmediate(countTurn);
    };
    let turn = setImmediate(countTurn);
    try {
        await client.call({ path: "/", signal: AbortSignal.timeout(callTimeoutMs) });
    }
    catch (error) {
        fixture.failure = String(error);
    }
    clearImmediate(turn);
    client.close();
});

Then("the call has failed for {string}", function(this: SiteWorld, reason: string) {
    assert.ok(calls.get(this)!.failure?.includes(reason), calls.get(this)!.failure);
});

Then("the answer took at least {int} turns of the event loop", function(this: SiteWorld, turns: number) {
    assert.ok(calls.get(this)!.turns >= turns, `${calls.get(this)!.turns} turns`);
});
