/**
 * @module
 * Steps that track requests on engines and end the engines.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { createEngineRecord } from "../../bench/support/placerFixtures.js";
import { createEndTracker, type EndTracker, type TrackedSend } from "../../src/core/quarantine/createEndTracker.js";
import type { EngineEnd } from "../../src/core/quarantine/engineEnd.js";
import { checkListening } from "../../src/io/upstream/checkListening.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface EndFixture {
    readonly tracker: EndTracker;
    readonly send: TrackedSend;
    readonly settled: (readonly string[])[];
    end: EngineEnd | undefined;
}

const fixtures = new WeakMap<SiteWorld, EndFixture>();
const listeners = new WeakMap<SiteWorld, { readonly server: Server; readonly address: string; }>();

const nowMs = 10_000;
const engine = createEngineRecord("u-1");

const progress = new Map<string, (send: TrackedSend) => void>([
    ["has no event", () => undefined],
    ["had its first event 200 ms ago", send => send.recordEvent(nowMs - 200)],
    ["had its first event 250 ms ago", send => send.recordEvent(nowMs - 250)],
    ["is complete", send => send.recordAnswer()],
    ["was given up by its caller", send => send.end()],
]);

Given(/^a request on an engine whose answer (.+)$/, function(this: SiteWorld, state: string) {
    const settled: (readonly string[])[] = [];
    const tracker = createEndTracker(parts => settled.push(parts));
    const send = tracker.begin({ id: "r-1", parts: ["style", "case"] }, engine, nowMs - 1_000);
    progress.get(state)!(send);
    fixtures.set(this, { tracker, send, settled, end: undefined });
});

When("the engine ends", function(this: SiteWorld) {
    const fixture = fixtures.get(this)!;
    fixture.end = fixture.tracker.confirmEnd(engine.id, nowMs);
});

When("its connection ends and it is sent to another engine", function(this: SiteWorld) {
    const { tracker, send } = fixtures.get(this)!;
    send.recordConnectionEnd();
    send.end();
    tracker.begin({ id: "r-1", parts: ["style", "case"] }, createEngineRecord("u-2"), nowMs);
});

When("another engine ends", function(this: SiteWorld) {
    const fixture = fixtures.get(this)!;
    fixture.end = fixture.tracker.confirmEnd("u-2", nowMs);
});

When("its connection ends and the engine goes on", function(this: SiteWorld) {
    const { tracker, send } = fixtures.get(this)!;
    send.recordConnectionEnd();
    send.end();
    tracker.recordAlive(engine.id);
});

Then("{int} requests are implicated", function(this: SiteWorld, count: number) {
    assert.equal(fixtures.get(this)!.end?.requests.length ?? 0, count);
});

Then("the parts of {int} requests have been answered", function(this: SiteWorld, count: number) {
    assert.equal(fixtures.get(this)!.settled.length, count);
});

Given("an address at which a process listens", async function(this: SiteWorld) {
    const server = createServer(socket => socket.destroy()).listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = server.address();
    assert.ok(typeof address === "object" && address);
    listeners.set(this, { server, address: `127.0.0.1:${address.port}` });
});

When("the process ends", async function(this: SiteWorld) {
    const { server } = listeners.get(this)!;
    server.close();
    await once(server, "close");
});

Then("the address is found {string}", async function(this: SiteWorld, state: string) {
    assert.equal(await checkListening(listeners.get(this)!.address), state);
});
