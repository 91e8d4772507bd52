/**
 * @module
 * Steps that place a stream again of which its caller has a part, on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createPlacerFixture, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { PlaceResult } from "../../src/core/proxy/proxyEffects.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface StartedStream {
    readonly fixture: PlacerFixture;
    readonly model: string;
    result?: PlaceResult;
}

const streams = new WeakMap<SiteWorld, StartedStream>();

function getStream(world: SiteWorld): StartedStream {
    const stream = streams.get(world);
    assert.ok(stream !== undefined);
    return stream;
}

Given(
    "engines {string} whose weights have been outdated for {int} ms, beyond the limit",
    function(this: SiteWorld, ids: string, outdatedMs: number) {
        const fixture = createPlacerFixture(createVirtualClock(1), ids.split(", "));
        const { model } = createPrompt({});
        const sinceMs = fixture.clock.now() - outdatedMs;
        fixture.weights.recordTarget({ model, version: 2, sinceMs, isObserved: true });
        streams.set(this, { fixture, model });
    },
);

When(
    /^a stream with a deadline of (\d+) ms that (has|has not) started is lost at "([^"]+)" after (\d+) ms$/,
    function(this: SiteWorld, deadlineMs: string, started: string, upstream: string, afterMs: string) {
        const stream = getStream(this);
        const { clock, placer } = stream.fixture;
        const arrivedMs = clock.now() - Number(afterMs);
        const prompt = createPrompt({});
        const req = createProxyRequest("stream", { prompt, arrivedMs, deadlineMs: arrivedMs + Number(deadlineMs) });
        placer.place(req, { kind: "place", excluded: [upstream], hasStarted: started === "has" }, result => {
            stream.result = result;
        });
    },
);

When("{string} has loaded the target weights {int} ms later", function(this: SiteWorld, id: string, afterMs: number) {
    const { fixture, model } = getStream(this);
    fixture.clock.runUntil(fixture.clock.now() + afterMs);
    fixture.weights.recordLoaded(id, model, 2);
    fixture.placer.dispatch();
});

When("{int} ms more pass", function(this: SiteWorld, lastsMs: number) {
    const { clock } = getStream(this).fixture;
    clock.runUntil(clock.now() + lastsMs);
});

Then("the stream goes on at {string}", function(this: SiteWorld, id: string) {
    const { result } = getStream(this);
    assert.equal(result?.kind === "placed" ? result.placement.upstream.id : result?.kind, id);
});

Then("the stream waits", function(this: SiteWorld) {
    assert.equal(getStream(this).result, undefined);
});

Then("the stream is refused", function(this: SiteWorld) {
    assert.equal(getStream(this).result?.kind, "refused");
});
