/**
 * @module
 * Steps with sources of many short pieces, of which each has a share of a turn of the event loop.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { createPauseGate } from "../../src/core/_lib/createPauseGate.js";
import { createTurnQueue } from "../../src/core/time/createTurnQueue.js";
import { createTurnShare } from "../../src/core/time/createTurnShare.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { readBody } from "../../src/io/http/readBody.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface TurnFixture {
    readonly server: Server;
    /** Numbers of pieces that arrived in turns with any. */
    readonly piecesByTurn: number[];
    socket: Socket | undefined;
    /** Heads of the answers that were received. */
    received: string;
    /** Numbers of the sources in the order in which they went on, by turn. */
    resumed: readonly (readonly number[])[];
}

const fixtures = new WeakMap<SiteWorld, TurnFixture>();

function getFixture(world: SiteWorld): TurnFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

/** Bytes of a chunk of one byte with its framing. */
const chunkText = "1\r\na\r\n";

/** Byte of the answers, which no head has. */
const answerText = "~";

/** Bytes that Node.js reads from a connection at once. */
const readBytes = 65_536;

/** Pieces that may have been handled before the one that ends the share of a turn. */
const sharePieces = 256;

const timeoutMs = 60_000;

Given(
    "a server of uploads of up to {int} bytes, which answers with {int} bytes",
    async function(this: SiteWorld, maxBytes: number, answerBytes: number) {
        const piecesByTurn: number[] = [];
        let pieces = 0;
        const server = createServer((req, res) => {
            req.on("data", () => {
                pieces += 1;
            });
            void readBody(req, createSystemClock(), { maxBytes, timeoutMs }).then(body => {
                const outcome = body.isOk ? String(body.value.length) : body.error.kind;
                res.setHeader("x-outcome", outcome);
                res.end(Buffer.alloc(answerBytes, answerText));
            });
        });
        const countTurn = () => {
            if (pieces > 0) {
                piecesByTurn.push(pieces);
                pieces = 0;
            }
            turn = setImmediate(countTurn);
        };
        let turn = setImmediate(countTurn);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        fixtures.set(this, { server, piecesByTurn, socket: undefined, received: "", resumed: [] });
        this.cleanups.push(() => {
            clearImmediate(turn);
            server.closeAllConnections();
            server.close();
        });
    },
);

function open(fixture: TurnFixture): Socket {
    const socket = connect((fixture.server.address() as AddressInfo).port, "127.0.0.1");
    socket.setEncoding("latin1");
    fixture.socket = socket;
    return socket;
}

function listOutcomes(received: string): readonly string[] {
    return [...received.matchAll(/x-outcome: (\w+)/g)].map(match => match[1]!);
}

/** Reads until so many answers are whole, each of which has so many bytes. */
function readAnswers(fixture: TurnFixture, answers: number, answerBytes: number): Promise<void> {
    const { socket } = fixture;
    assert.ok(socket !== undefined);
    return new Promise((resolve, reject) => {
        socket.on("error", reject);
        socket.on("close", () => reject(new Error("the connection was closed")));
        let bodyBytes = 0;
        socket.on("data", (text: string) => {
            const heads = text.replaceAll(answerText, "");
            fixture.received += heads;
            bodyBytes += text.length - heads.length;
            if (bodyBytes >= answers * answerBytes && listOutcomes(fixture.received).length === answers) {
                resolve();
            }
        });
    });
}

function writeUpload(socket: Socket, chunks: number): void {
    socket.write("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    socket.write(`${chunkText.repeat(chunks)}0\r\n\r\n`);
}

When("a caller uploads {int} chunks of one byte", async function(this: SiteWorld, chunks: number) {
    const fixture = getFixture(this);
    writeUpload(open(fixture), chunks);
    await readAnswers(fixture, 1, 1);
});

When(
    "a caller sends uploads of {int}, {int}, {int} and {int} chunks of one byte on one connection, and then reads {int} bytes of each answer",
    async function(this: SiteWorld, first: number, second: number, third: number, fourth: number, answerBytes: number) {
        const fixture = getFixture(this);
        const socket = open(fixture);
        const uploads = [first, second, third, fourth];
        uploads.forEach(chunks => writeUpload(socket, chunks));
        await readAnswers(fixture, uploads.length, answerBytes);
    },
);

Then("each turn handles the pieces of at most one read", function(this: SiteWorld) {
    const most = Math.max(...getFixture(this).piecesByTurn);
    assert.ok(most <= Math.ceil(readBytes / chunkText.length) + sharePieces, `${most} pieces in a turn`);
});

Then("the outcomes are {string}", function(this: SiteWorld, outcomes: string) {
    assert.equal(listOutcomes(getFixture(this).received).join(", "), outcomes);
});

When(
    "{int} sources hand on {int} pieces each, as many as they may in a turn",
    function(this: SiteWorld, sources: number, pieces: number) {
        let nextTurn: (() => void)[] = [];
        const resumed: number[][] = [];
        const deferInTurn = createTurnQueue(action => nextTurn.push(action));
        const running = Array.from({ length: sources }, (_, number) => {
            const source = { left: pieces, isPaused: false };
            const gate = createPauseGate({
                pause: () => {
                    source.isPaused = true;
                },
                resume: () => {
                    source.isPaused = false;
                    resumed.at(-1)!.push(number);
                },
            });
            return { source, share: createTurnShare({ pause: gate.hold, defer: deferInTurn }) };
        });
        while (running.some(({ source }) => source.left > 0)) {
            for (const { source, share } of running) {
                while (source.left > 0 && !source.isPaused) {
                    source.left -= 1;
                    share.record();
                }
            }
            const actions = nextTurn;
            nextTurn = [];
            resumed.push([]);
            actions.forEach(action => action());
        }
        fixtures.set(this, { server: createServer(), piecesByTurn: [], socket: undefined, received: "", resumed });
    },
);

Then("one source goes on in each turn, in the order {string}", function(this: SiteWorld, order: string) {
    const { resumed } = getFixture(this);
    assert.ok(resumed.every(sources => sources.length <= 1));
    assert.equal(resumed.flat().join(" "), order);
});
