/**
 * @module
 * Steps on connections that an HTTP server accepts and reads only later, over loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type ConnectionGate, createConnectionGate } from "../../src/io/http/createConnectionGate.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface GatedServer {
    readonly gate: ConnectionGate;
    readonly port: number;
    readonly answers: string[];
    accepted: number;
    received: number;
    release: () => void;
}

const servers = new WeakMap<SiteWorld, GatedServer>();

function getServer(world: SiteWorld): GatedServer {
    const server = servers.get(world);
    assert.ok(server !== undefined);
    return server;
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Sends a request in two parts, and keeps what comes back. */
function call(server: GatedServer, part: string): Socket {
    const index = server.answers.push("") - 1;
    const socket = connect(server.port, "127.0.0.1", () => socket.write(part));
    socket.on("data", bytes => {
        server.answers[index] += bytes.toString();
    });
    socket.on("error", () => undefined);
    return socket;
}

const firstPart = "POST / HTTP/1.1\r\nhost: letters.example\r\nconnection: close\r\ncontent-length: 6\r\n\r\nlet";
const lastPart = "ter";

Given("an HTTP server with a gate that holds back new connections", async function(this: SiteWorld) {
    const server = createServer((req, res) => {
        let body = "";
        req.on("data", (bytes: Buffer) => {
            body += bytes.toString();
        });
        req.on("end", () => res.end(body));
        getServer(this).received += 1;
    });
    const gate = createConnectionGate(server);
    server.on("connection", () => {
        getServer(this).accepted += 1;
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    servers.set(this, { gate, port, answers: [], accepted: 0, received: 0, release: gate.hold() });
    this.cleanups.push(async () => {
        server.closeAllConnections();
        await new Promise(resolve => {
            server.close(resolve);
        });
    });
});

When(
    "{int} callers send a part of a request, {int} of which reset their connection, and the gate opens",
    async function(this: SiteWorld, callers: number, resets: number) {
        const server = getServer(this);
        const sockets = Array.from({ length: callers }, () => call(server, firstPart));
        await waitUntil(() => server.accepted === callers);
        assert.equal(server.received, 0);
        const [gone, staying] = [sockets.slice(0, resets), sockets.slice(resets)];
        gone.forEach(socket => socket.resetAndDestroy());
        await waitUntil(() => gone.every(socket => socket.closed));
        server.release();
        staying.forEach(socket => socket.write(lastPart));
    },
);

Then("{int} callers have their answers", async function(this: SiteWorld, callers: number) {
    const { answers } = getServer(this);
    const isAnswer = (text: string) => /^HTTP\/1\.1 200 [^]*letter/.test(text);
    await waitUntil(() => answers.filter(isAnswer).length >= callers);
    assert.equal(answers.filter(isAnswer).length, callers);
});

Then("a new connection is read at once", async function(this: SiteWorld) {
    const server = getServer(this);
    const { length } = server.answers;
    call(server, firstPart + lastPart);
    await waitUntil(() => server.answers[length]!.includes("letter"));
});
