/**
 * @module
 * Steps on the number of connections that callers keep open.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { Agent, createServer, request, type ServerResponse } from "node:http";
import { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { limitCallerConnections } from "../../src/core/proxy/limitCallerConnections.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { closeExpiredConnections } from "../../src/io/http/closeExpiredConnections.js";
import { type CallerConnections, createCallerConnections } from "../../src/io/http/createCallerConnections.js";
import { plainCall, streamHeaders } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { startLoneInstance } from "../support/startLoneInstance.js";

interface ConnectionFixture {
    readonly connections: CallerConnections;
    readonly sockets: readonly Socket[];
}

interface ProcessFixture {
    readonly instance: InstanceProcess;
    readonly statuses: number[];
}

const fixtures = new WeakMap<SiteWorld, ConnectionFixture>();
const processes = new WeakMap<SiteWorld, ProcessFixture>();
const bytesPerMegabyte = 1_048_576;
const firstPort = 27_000;
const settleTurns = 10;

Then(
    "a process with {int} descriptors and {int} MB keeps at most {int} connections",
    (maxDescriptors: number, megabytes: number, connections: number) => {
        const memoryBytes = megabytes * bytesPerMegabyte;
        assert.equal(limitCallerConnections({ maxDescriptors, memoryBytes }), connections);
    },
);

function addSockets(connections: CallerConnections, count: number): readonly Socket[] {
    const sockets = Array.from({ length: count }, () => new Socket());
    sockets.forEach(connections.add);
    return sockets;
}

Given(
    "at most {int} connections of callers, of which {int} are open",
    function(this: SiteWorld, maxConnections: number, open: number) {
        const connections = createCallerConnections(maxConnections, createSystemClock());
        fixtures.set(this, { connections, sockets: addSockets(connections, open) });
    },
);

When(
    "connections {int}, {int} and {int} have each had a request, and connection {int} has one in progress",
    function(this: SiteWorld, first: number, second: number, third: number, busy: number) {
        const { connections, sockets } = fixtures.get(this)!;
        [first, second, third].forEach(number => {
            connections.beginRequest(sockets[number - 1]!);
            connections.endRequest(sockets[number - 1]!);
        });
        connections.beginRequest(sockets[busy - 1]!);
    },
);

/** Lets what follows new connections happen. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < settleTurns; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

When("{int} more are opened", async function(this: SiteWorld, count: number) {
    addSockets(fixtures.get(this)!.connections, count);
    await settle();
});

When(
    "{int} more are opened while a request that has arrived on connection {int} is not read yet",
    async function(this: SiteWorld, count: number, number: number) {
        const { connections, sockets } = fixtures.get(this)!;
        addSockets(connections, count);
        setImmediate(() => connections.beginRequest(sockets[number - 1]!));
        await settle();
    },
);

/** Lets the idle timeout of a connection pass, with a timer that runs before anything is read. */
function passTimeout({ connections, sockets }: ConnectionFixture, number: number): void {
    const server = createServer();
    closeExpiredConnections(server, connections, { clock: createSystemClock(), maxIdleMs: () => 0 });
    server.emit("timeout", sockets[number - 1]!);
}

When(
    "the idle timeout of connection {int} passes while a request that has arrived on it is not read yet",
    async function(this: SiteWorld, number: number) {
        const fixture = fixtures.get(this)!;
        passTimeout(fixture, number);
        setImmediate(() => fixture.connections.beginRequest(fixture.sockets[number - 1]!));
        await settle();
    },
);

When("the idle timeout of connection {int} passes", async function(this: SiteWorld, number: number) {
    passTimeout(fixtures.get(this)!, number);
    await settle();
});

Then("connection {int} stays open", function(this: SiteWorld, number: number) {
    assert.equal(fixtures.get(this)!.sockets[number - 1]!.writableEnded, false);
});

Then(
    "connections {int}, {int} and {int} are being closed",
    function(this: SiteWorld, first: number, second: number, third: number) {
        const { connections, sockets } = fixtures.get(this)!;
        const closing = sockets.flatMap((socket, index) => socket.writableEnded ? [index + 1] : []);
        assert.deepEqual(closing, [first, second, third].sort());
        assert.equal(connections.beginRequest(sockets[first - 1]!), false);
    },
);

When("1 more is opened that has a request at once", async function(this: SiteWorld) {
    const { connections } = fixtures.get(this)!;
    const [socket] = addSockets(connections, 1);
    connections.beginRequest(socket!, { req: { complete: true } } as unknown as ServerResponse);
    await settle();
    assert.ok(!socket!.destroyed);
});

interface FakeResponse {
    readonly req: { readonly complete: boolean; };
    writableEnded: boolean;
}

const responses = new WeakMap<Socket, FakeResponse>();

function beginRequest({ connections }: ConnectionFixture, socket: Socket, complete: boolean): void {
    const res: FakeResponse = { req: { complete }, writableEnded: false };
    responses.set(socket, res);
    connections.beginRequest(socket, res as unknown as ServerResponse);
}

When(
    /^each of them has a request in progress( and one that is received)?$/,
    function(this: SiteWorld, received?: string) {
        const fixture = fixtures.get(this)!;
        fixture.sockets.forEach(socket => {
            beginRequest(fixture, socket, true);
            if (received) {
                beginRequest(fixture, socket, false);
            }
        });
    },
);

When("{int} ms have passed for them", (ms: number) => delay(ms));

When("the answer on connection {int} is made", function(this: SiteWorld, number: number) {
    responses.get(fixtures.get(this)!.sockets[number - 1]!)!.writableEnded = true;
});

When("connection {int} is being closed behind an answer that is not sent", function(this: SiteWorld, number: number) {
    const fixture = fixtures.get(this)!;
    fixture.sockets.forEach(socket => beginRequest(fixture, socket, true));
    const socket = fixture.sockets[number - 1]!;
    // Its end is not reached: what was written before waits.
    socket.end = () => socket;
    fixture.connections.close(socket);
});

Then("none is closed", function(this: SiteWorld) {
    const { connections, sockets } = fixtures.get(this)!;
    assert.ok(sockets.every(({ destroyed }) => !destroyed));
    assert.ok(connections.count() > sockets.length);
});

Then("connection {int} is closed and the others stay open", function(this: SiteWorld, number: number) {
    const closed = fixtures.get(this)!.sockets.flatMap((socket, index) => socket.destroyed ? [index + 1] : []);
    assert.deepEqual(closed, [number]);
});

When("all of them are to be closed", function(this: SiteWorld) {
    fixtures.get(this)!.connections.end();
});

Then("connection {int} is being closed", function(this: SiteWorld, number: number) {
    assert.equal(fixtures.get(this)!.sockets[number - 1]!.writableEnded, true);
});

Then("connection {int} closes once its request is over", function(this: SiteWorld, number: number) {
    const { connections, sockets } = fixtures.get(this)!;
    const socket = sockets[number - 1]!;
    assert.equal(socket.writableEnded, false);
    connections.endRequest(socket);
    assert.equal(socket.writableEnded, true);
});

Given(
    "a process of an instance that is allowed {int} descriptors",
    async function(this: SiteWorld, maxDescriptors: number) {
        const changedSettings = { limits: { max_fds: maxDescriptors } };
        const { instance } = await startLoneInstance(this, { lastOctet: 7, firstPort, changedSettings });
        processes.set(this, { instance, statuses: [] });
    },
);

function callOnce(address: string, agent: Agent, id: string): Promise<number> {
    const [host, port] = address.split(":");
    const { host: name, authorization } = streamHeaders;
    const headers = { host: name, authorization, "attempt-id": id };
    return new Promise((resolve, reject) => {
        const req = request({ host, port, agent, method: "POST", path: plainCall.path, headers }, res => {
            res.resume();
            res.on("end", () => resolve(res.statusCode ?? 0));
        });
        req.on("error", reject);
        req.end("letter");
    });
}

When(
    "{int} callers send a request one after the other and keep their connections",
    async function(this: SiteWorld, callers: number) {
        const { instance, statuses } = processes.get(this)!;
        for (let count = 0; count < callers; count += 1) {
            const agent = new Agent({ keepAlive: true });
            this.cleanups.push(() => Promise.resolve(agent.destroy()));
            statuses.push(await callOnce(instance.callerAddress, agent, `call-${count}`));
        }
    },
);

Then("each of them was answered with {int}", function(this: SiteWorld, status: number) {
    assert.deepEqual(new Set(processes.get(this)!.statuses), new Set([status]));
});

Then("the process has at most {int} descriptors open", function(this: SiteWorld, descriptors: number) {
    const { instance } = processes.get(this)!;
    const open = readdirSync(`/proc/${instance.pid()}/fd`).length;
    assert.ok(open <= descriptors, `${open} descriptors`);
});
