/**
 * @module
 * Steps that read answers as a caller receives them on its socket.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { type CallerExchange, createCallerExchange } from "../../src/io/proxy/createCallerExchange.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { streamHead } from "../support/streamHead.js";

interface CallerConnection {
    readonly exchange: CallerExchange;
    readonly received: () => string;
    readonly wasReset: () => boolean;
    readonly closed: Promise<unknown>;
}

const connections = new WeakMap<SiteWorld, CallerConnection>();

function getConnection(world: SiteWorld): CallerConnection {
    const connection = connections.get(world);
    assert.ok(connection !== undefined);
    return connection;
}

Given("a caller of {word} that has received a part of a stream", async function(this: SiteWorld, version: string) {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    this.cleanups.push(() => {
        socket.destroy();
        server.close();
    });
    let received = "";
    let wasReset = false;
    socket.on("data", chunk => {
        received += chunk.toString();
    });
    socket.on("error", () => {
        wasReset = true;
    });
    socket.write(`GET /letters ${version}\r\nHost: letters.example\r\n\r\n`);
    const [, res] = await once(server, "request");
    const exchange = createCallerExchange(res, { requestId: "attempt-1", isClosing: () => false });
    exchange.startStream(streamHead);
    exchange.writeChunk(Buffer.from("id: 1\ndata: a\n\n"));
    while (!received.includes("data: a")) {
        await once(socket, "data");
    }
    const closed = new Promise(resolve => socket.once("close", resolve));
    connections.set(this, { exchange, received: () => received, wasReset: () => wasReset, closed });
});

When("its stream is aborted", function(this: SiteWorld) {
    getConnection(this).exchange.abort();
});

Then("its answer is not complete", async function(this: SiteWorld) {
    const { closed, received, wasReset } = getConnection(this);
    await closed;
    const isChunked = /transfer-encoding: chunked/i.test(received());
    assert.ok(wasReset() || (isChunked && !received().endsWith("0\r\n\r\n")), received());
});
