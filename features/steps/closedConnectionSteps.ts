/**
 * @module
 * Steps on requests of callers that close their connection before the first of them is answered.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createExchange, type ExchangeDependencies } from "../../src/io/http/createExchange.js";
import { trackConnections } from "../../src/io/lifecycle/trackConnections.js";
import { waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface ClosedConnection {
    readonly port: number;
    /** Requests that the lifecycle counts. */
    counted: number;
    /** Requests that wait for something. */
    begun: number;
    /** How the waits ended. */
    readonly ends: string[];
}

const connections = new WeakMap<SiteWorld, ClosedConnection>();
const longMs = 60_000;

Given("a server of the product's own interface whose requests wait", async function(this: SiteWorld) {
    const server = createServer();
    const clock = createSystemClock();
    // Only the clock is used by a request that waits.
    const dependencies = { clock } as unknown as ExchangeDependencies;
    trackConnections(server, {
        state: () => "serving",
        trackRequest: () => {
            connection.counted += 1;
            return () => {
                connection.counted -= 1;
            };
        },
    });
    server.on("request", (_, res) => {
        connection.begun += 1;
        const { handlers } = createExchange(`r-${connection.begun}`, res, dependencies);
        handlers.wait(
            { kind: "wait", delayMs: longMs, outlivesCaller: false },
            result => connection.ends.push(result),
        );
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    this.cleanups.push(() => void server.close());
    const { port } = server.address() as AddressInfo;
    const connection: ClosedConnection = { port, counted: 0, begun: 0, ends: [] };
    connections.set(this, connection);
});

When(
    "a caller sends {int} requests on one connection and closes it",
    async function(this: SiteWorld, count: number) {
        const connection = connections.get(this)!;
        const socket = connect(connection.port, "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(count));
        await waitUntil("the requests are received", () => connection.begun === count);
        socket.destroy();
    },
);

Then(
    "all {int} of them end, since the caller has gone, and none is counted",
    async function(this: SiteWorld, count: number) {
        const connection = connections.get(this)!;
        await waitUntil("the requests end", () => connection.ends.length === count && connection.counted === 0);
        assert.deepEqual(new Set(connection.ends), new Set(["callerGone"]));
    },
);
