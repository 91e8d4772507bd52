/**
 * @module
 * Steps on clients that send request after request on a connection.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { portOffsets } from "../../bench/support/platformSettings.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import { limitRequests } from "../../src/io/http/limitRequests.js";
import { configuration, waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { startLoneProcess } from "../support/startLoneProcess.js";

interface MetricsProcess {
    readonly instance: InstanceProcess;
    readonly host: string;
}

interface PipelinedRequests {
    readonly held: ServerResponse[];
    isReleased: boolean;
    socket: Socket | undefined;
}

const requestsOf = new WeakMap<SiteWorld, PipelinedRequests>();
const processes = new WeakMap<SiteWorld, MetricsProcess>();
const firstPort = 27_340;

/** Ports of an instance by their purpose, and paths that they serve. */
const ports: Readonly<Record<string, { readonly port: number; readonly path: string; }>> = {
    metrics: { port: 9_464, path: "/metrics" },
    callers: { port: firstPort + portOffsets.caller, path: "/x" },
    readiness: { port: firstPort + portOffsets.readiness, path: "/reedward/readiness" },
    peers: { port: firstPort + portOffsets.peer, path: "/peer/state" },
    entries: { port: firstPort + portOffsets.directory, path: "/reedward/resolve" },
};

function getRequests(world: SiteWorld): PipelinedRequests {
    const requests = requestsOf.get(world) ?? { held: [], isReleased: false, socket: undefined };
    requestsOf.set(world, requests);
    return requests;
}

Given("a process of an instance whose metrics are read", async function(this: SiteWorld) {
    const store = await startFakeStore();
    store.put("keyed.op", "config", configuration);
    const place = { lastOctet: 11, firstPort, storeAddress: store.address };
    const instance = await startLoneProcess(this, place);
    this.cleanups.push(() => store.stop());
    processes.set(this, { instance, host: instance.callerAddress.split(":")[0]! });
});

/** Sends requests for as long as the connection takes them. */
function sendRequests(socket: Socket, path: string): void {
    const requests = `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`.repeat(2_000);
    const sendMore = () => {
        while (socket.writable && socket.write(requests)) {
            // Goes on until the write buffer is full.
        }
    };
    socket.on("drain", sendMore);
    sendMore();
}

async function openClient(host: string, port: number): Promise<Socket> {
    const socket = connect(port, host);
    socket.on("error", () => undefined);
    socket.pause();
    await once(socket, "connect");
    return socket;
}

When(
    /^(\d+) clients that read nothing send requests (?:for|to the port of) (metrics|callers|readiness|peers|entries) for (\d+) s$/,
    async function(this: SiteWorld, clients: string, purpose: string, seconds: string) {
        const { host } = processes.get(this)!;
        const { port, path } = ports[purpose]!;
        const sockets = await Promise.all(Array.from({ length: Number(clients) }, () => openClient(host, port)));
        this.cleanups.unshift(() => sockets.forEach(socket => socket.destroy()));
        sockets.forEach(socket => sendRequests(socket, path));
        await delay(Number(seconds) * 1_000);
    },
);

Then(
    "the process has answered for its readiness, and has held at most {int} MB",
    async function(this: SiteWorld, megabytes: number) {
        const { instance } = processes.get(this)!;
        assert.equal(instance.lives.at(-1)?.end, undefined);
        assert.ok(await instance.isReady());
        const status = readFileSync(`/proc/${instance.pid()}/status`, "utf8");
        const peakMegabytes = Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) / 1_024;
        assert.ok(peakMegabytes <= megabytes, `${Math.round(peakMegabytes)} MB`);
    },
);

Given(
    "a server that keeps at most {int} requests of a connection in progress",
    async function(this: SiteWorld, maxRequests: number) {
        const fixture = getRequests(this);
        const server = createServer();
        limitRequests(server, (req, res) => {
            if (fixture.isReleased) {
                res.end(`${req.url}\n`);
                return;
            }
            fixture.held.push(res);
        }, { maxRequests, isPaused: true });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        fixture.socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        this.cleanups.push(() => {
            fixture.socket?.destroy();
            server.closeAllConnections();
            server.close();
        });
    },
);

When("a caller sends {int} requests on one connection", async function(this: SiteWorld, count: number) {
    const { socket, held } = getRequests(this);
    const paths = Array.from({ length: count }, (_, index) => `/${index}`);
    socket!.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(""));
    await waitUntil("some requests are in progress", () => held.length > 0);
    let before = -1;
    await waitUntil("no more requests are read", () => {
        const isQuiet = before === held.length;
        before = held.length;
        return isQuiet;
    });
});

Then("at most {int} of them are in progress", function(this: SiteWorld, most: number) {
    const { held } = getRequests(this);
    assert.ok(held.length <= most, `${held.length} requests`);
});

Then("all are answered in their order once they are released", async function(this: SiteWorld) {
    const fixture = getRequests(this);
    let received = "";
    fixture.socket!.on("data", (bytes: Buffer) => {
        received += bytes.toString("latin1");
    });
    fixture.isReleased = true;
    fixture.held.forEach(res => res.end(`${res.req.url}\n`));
    await waitUntil("the last one is answered", () => received.includes("/19999\n"));
    const paths = [...received.matchAll(/^(\/\d+)$/gm)].map(match => match[1]);
    assert.deepEqual(paths, Array.from({ length: 20_000 }, (_, index) => `/${index}`));
});
