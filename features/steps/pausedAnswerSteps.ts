/**
 * @module
 * Steps with an answer without end that is paused again and again, as for a caller that reads slowly.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import { createWatchedConnector } from "../../src/io/_lib/createWatchedConnector.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface PausedFixture {
    readonly address: string;
    /** Most bytes that waited in the connection while the answer was paused. */
    waitingBytes: number;
}

const fixtures = new WeakMap<SiteWorld, PausedFixture>();
const connectTimeoutMs = 10_000;
const chunk = `400\r\n${"a".repeat(1_024)}\r\n`;

Given("an upstream whose answer has chunks of 1 KB without end", async function(this: SiteWorld) {
    const upstream = await startScriptedUpstream(({ socket }) => {
        const chunks = chunk.repeat(64);
        const writeMore = () => {
            while (!socket.destroyed && socket.write(chunks)) {
                // Goes on until the write buffer is full.
            }
        };
        socket.on("drain", writeMore);
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeMore();
    });
    this.cleanups.push(() => upstream.stop());
    fixtures.set(this, { address: upstream.address, waitingBytes: 0 });
});

When(
    "the answer is paused {int} times, each time after {int} KB",
    async function(this: SiteWorld, pauses: number, kilobytes: number) {
        const fixture = fixtures.get(this)!;
        const connector = createWatchedConnector(connectTimeoutMs);
        let connection: Socket | undefined;
        const client = new Client(`http://${fixture.address}`, {
            connect: (options, onConnected) =>
                connector.connect(options, (...connected) => {
                    connection = connected[1] ?? undefined;
                    onConnected(...connected);
                }),
        });
        this.cleanups.unshift(() => client.destroy());
        await new Promise<void>((resolve, reject) => {
            let chunks = 0;
            let left = pauses;
            const goOn = (controller: Dispatcher.DispatchController) => {
                fixture.waitingBytes = Math.max(fixture.waitingBytes, connection!.readableLength);
                left -= 1;
                if (left === 0) {
                    resolve();
                    return;
                }
                controller.resume();
            };
            client.dispatch({ path: "/", method: "GET" }, {
                onRequestStart: () => undefined,
                onResponseStart: () => undefined,
                onResponseEnd: () => undefined,
                onResponseData: controller => {
                    chunks += 1;
                    if (chunks % kilobytes === 0) {
                        controller.pause();
                        setImmediate(() => goOn(controller));
                    }
                },
                onResponseError: (_, err) => reject(err),
            });
        });
    },
);

Then("at most {int} KB have waited in its connection", function(this: SiteWorld, kilobytes: number) {
    const { waitingBytes } = fixtures.get(this)!;
    assert.ok(waitingBytes <= kilobytes * 1_024, `${waitingBytes} bytes`);
});
