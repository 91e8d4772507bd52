/**
 * @module
 * Steps that track requests on engines and end the engines.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { createEndTracker, type EndTracker } from "../../src/core/quarantine/createEndTracker.js";
import type { EngineEnd } from "../../src/core/quarantine/engineEnd.js";
import { checkListening } from "../../src/io/upstream/checkListening.js";
import { createEngineRecord } from "../support/placerFixtures.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface EndFixture {
    readonly tracker: EndTracker;
    readonly settled: (readonly string[])[];
    end: EngineEnd | undefined;
}

const fixtures = new WeakMap<SiteWorld, EndFixture>();
const listeners = new WeakMap<SiteWorld, { readonly server: Server; readonly address: string; }>();

const nowMs = 10_000;
const engine = createEngineRecord("u-1");

const progress = new Map<string, (tracker: EndTracker) => void>([
    ["has no event", () => undefined],
    ["had its first event 300 ms ago", tracker => tracker.recordEvent("r-1", nowMs - 300)],
    ["had its first event 500 ms ago", tracker => tracker.recordEvent("r-1", nowMs - 500)],
    ["is complete", tracker => tracker.recordAnswer("r-1")],
    ["was given up by its caller", tracker => tracker.drop("r-1")],
]);

Given(/^a request on an engine whose answer (.+)$/, function(this: SiteWorld, state: string) {
    const settled: (readonly string[])[] = [];
    const tracker = createEndTracker(parts => settled.push(parts));
    tracker.begin({ id: "r-1", parts: ["style", "case"] }, engine);
    progress.get(state)!(tracker);
    fixtures.set(this, { tracker, settled, end: undefined });
});

When("the engine ends", function(this: SiteWorld) {
    const fixture = fixtures.get(this)!;
    fixture.end = fixture.tracker.confirmEnd(engine.id, nowMs);
});

When("another engine ends", function(this: SiteWorld) {
    const fixture = fixtures.get(this)!;
    fixture.end = fixture.tracker.confirmEnd("u-2", nowMs);
});

When("its connection ends and the engine goes on", function(this: SiteWorld) {
    const { tracker } = fixtures.get(this)!;
    tracker.recordConnectionEnd("r-1");
    tracker.drop("r-1");
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
