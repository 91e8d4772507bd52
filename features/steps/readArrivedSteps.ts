/**
 * @module
 * Steps on connections that wait for a process that does not run: its thread sleeps while another one connects.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Worker } from "node:worker_threads";
import { readArrived } from "../../src/io/_lib/readArrived.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface ListenerState {
    accepted: number;
    received: number;
    onAccepted?: (() => void) | undefined;
}

const listeners = new WeakMap<SiteWorld, ListenerState>();

const maxSleepMs = 20_000;

/** Connects, sends a request on each connection, and wakes the sleeping thread up once all are sent. */
const callerProgram = `
    const { workerData: { port, callers, isSent } } = require("node:worker_threads");
    let sent = 0;
    for (let caller = 0; caller < callers; caller += 1) {
        const socket = require("node:net").connect(port, "127.0.0.1", () => {
            socket.write("GET / HTTP/1.1\\r\\nhost: letters.example\\r\\n\\r\\n", () => {
                sent += 1;
                if (sent === callers) {
                    Atomics.store(isSent, 0, 1);
                    Atomics.notify(isSent, 0);
                }
            });
        });
        socket.on("error", () => {});
    }
`;

Given(
    "a listener whose process does not run while {int} callers connect and send a request",
    { timeout: maxSleepMs },
    async function(this: SiteWorld, callers: number) {
        const state: ListenerState = { accepted: 0, received: 0 };
        const server = createServer((_, res) => {
            state.received += 1;
            res.end();
        });
        server.on("connection", () => {
            state.accepted += 1;
            state.onAccepted?.();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const isSent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
        const worker = new Worker(callerProgram, { eval: true, workerData: { port, callers, isSent } });
        this.cleanups.push(async () => {
            server.closeAllConnections();
            server.close();
            await worker.terminate();
        });
        assert.equal(Atomics.wait(isSent, 0, 0, maxSleepMs), "ok");
        assert.deepEqual(state, { accepted: 0, received: 0 });
        listeners.set(this, state);
    },
);

const acceptedWhenNoneWaits = new WeakMap<SiteWorld, number>();

When(
    "what has arrived is read from within the turn that accepts the first connection",
    async function(this: SiteWorld) {
        const state = listeners.get(this)!;
        let finish: () => void = () => undefined;
        const read = new Promise<void>(resolve => {
            finish = resolve;
        });
        state.onAccepted = () => {
            state.onAccepted = undefined;
            const onNoneWaits = () => {
                if (!acceptedWhenNoneWaits.has(this)) {
                    acceptedWhenNoneWaits.set(this, state.accepted);
                }
            };
            void readArrived(() => state.accepted, { onNoneWaits }).then(finish);
        };
        await read;
    },
);

Then("no connection waits only once {int} are accepted", function(this: SiteWorld, connections: number) {
    assert.equal(acceptedWhenNoneWaits.get(this), connections);
});

When("what has arrived is read", async function(this: SiteWorld) {
    const state = listeners.get(this)!;
    await readArrived(() => state.accepted);
});

Then("the requests of {int} callers were received", function(this: SiteWorld, callers: number) {
    assert.deepEqual(listeners.get(this), { accepted: callers, received: callers });
});
