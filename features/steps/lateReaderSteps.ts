/**
 * @module
 * Steps on callers that read their answers late, at an instance whose process stops meanwhile.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import { configuration, streamHeaders, waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { startLoneProcess } from "../support/startLoneProcess.js";

interface LateReader {
    readonly instance: InstanceProcess;
    receivedBytes: () => number;
}

const readers = new WeakMap<SiteWorld, LateReader>();
const bytesPerKilobyte = 1_024;
const firstPort = 27_100;
const readAfterMs = 3_000;

async function startUpstream(world: SiteWorld, answerBytes: number): Promise<string> {
    const server = createServer((req, res) => {
        req.resume();
        res.writeHead(200, { "attempt-id": req.headers["attempt-id"], "server-seal": "seal" });
        res.end(Buffer.alloc(answerBytes, "a"));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    world.cleanups.push(() => {
        server.closeAllConnections();
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

Given(
    "a process of an instance before an upstream with answers of {int} KB",
    async function(this: SiteWorld, kilobytes: number) {
        const store = await startFakeStore();
        const address = await startUpstream(this, kilobytes * bytesPerKilobyte);
        const upstream = { service: "portal", address, zone: "north", slots: 8, state: "ready", seq_no: 0, born: 1 };
        store.put("keyed.op", "config", configuration);
        store.put("keyed.servers", "i-1", upstream);
        const place = { lastOctet: 9, firstPort, storeAddress: store.address };
        const instance = await startLoneProcess(this, place);
        this.cleanups.push(() => store.stop());
        readers.set(this, { instance, receivedBytes: () => 0 });
    },
);

function formatRequest(id: string): string {
    const { host, authorization } = streamHeaders;
    const head = [`host: ${host}`, `authorization: ${authorization}`, `attempt-id: ${id}`, "content-length: 6"];
    return `POST /documents/1 HTTP/1.1\r\n${head.join("\r\n")}\r\n\r\nletter`;
}

async function openConnection(world: SiteWorld, address: string): Promise<Socket> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    world.cleanups.push(() => void socket.destroy());
    socket.on("error", () => undefined);
    await once(socket, "connect");
    return socket;
}

When(
    /^a caller that reads nothing for 3 s sends a request (before|after) it is to stop(?: and another (at once|after 500 ms))?$/,
    async function(this: SiteWorld, order: string, another: string | undefined) {
        const reader = readers.get(this)!;
        const { instance } = reader;
        const socket = await openConnection(this, instance.callerAddress);
        const closed = once(socket, "close");
        socket.pause();
        if (order === "after") {
            instance.signal("SIGTERM");
            await waitUntil("the instance leaves", async () => !await instance.isReady());
        }
        socket.write(formatRequest("attempt-1") + (another === "at once" ? formatRequest("attempt-2") : ""));
        await delay(500);
        if (order === "before") {
            instance.signal("SIGTERM");
        }
        if (another === "after 500 ms") {
            socket.write(formatRequest("attempt-2"));
        }
        await delay(readAfterMs - 500);
        const chunks: Buffer[] = [];
        socket.on("data", (chunk: Buffer) => chunks.push(chunk));
        socket.resume();
        await closed;
        const received = Buffer.concat(chunks);
        reader.receivedBytes = () => received.length - received.indexOf("\r\n\r\n") - "\r\n\r\n".length;
    },
);

Then(
    "it has the whole answer of {int} KB, and the process ends within its grace period",
    async function(this: SiteWorld, kilobytes: number) {
        const { instance, receivedBytes } = readers.get(this)!;
        await instance.ended();
        assert.ok(receivedBytes() >= kilobytes * bytesPerKilobyte, `${receivedBytes()} bytes`);
        assert.equal(instance.lives.at(-1)?.end, "code 0");
    },
);
