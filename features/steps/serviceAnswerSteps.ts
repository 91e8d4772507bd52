/**
 * @module
 * Steps that collect the answer of a scripted service over loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ScriptedUpstream, startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import type { Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import type { CollectResult } from "../../src/core/effects/effectTypes.js";
import { collectBody } from "../../src/io/upstream/collectBody.js";
import { createUpstreamClient } from "../../src/io/upstream/createUpstreamClient.js";
import { connectionEndings } from "../support/connectionEndings.js";
import type { SiteWorld } from "../support/siteWorld.js";

const services = new WeakMap<SiteWorld, ScriptedUpstream>();
const results = new WeakMap<SiteWorld, CollectResult>();

const maxAnswerBytes = 1_000;

Given(/^a service that answers without a length and then (.+)$/, async function(this: SiteWorld, end: string) {
    const service = await startScriptedUpstream(({ socket }) => {
        socket.write("HTTP/1.1 200 OK\r\nX-Correlation-Id: c-1\r\nConnection: close\r\n\r\nconfirm");
        connectionEndings.get(end)?.(socket);
    });
    services.set(this, service);
    this.cleanups.push(service.stop);
});

When("the answer is collected", async function(this: SiteWorld) {
    const limits = { connectTimeoutMs: 1_000, silenceTimeoutMs: 1_000 };
    const client = createUpstreamClient({ ...limits, onMismatch: () => undefined });
    this.cleanups.push(client.close);
    const answer = await client.open({
        upstream: { id: "booking-1", address: services.get(this)!.address } as Upstream,
        method: "POST",
        path: "/confirmations",
        headers: {},
        body: undefined,
        correlationId: "c-1",
        timeoutMs: 1_000,
        needsNewConnection: false,
        outlivesCaller: false,
    }, undefined);
    assert.ok(answer.kind === "answered", answer.kind);
    results.set(this, await new Promise(resolve => collectBody(answer.body, maxAnswerBytes, resolve)));
});

Then(/^it is (complete|incomplete)$/, function(this: SiteWorld, verdict: string) {
    assert.equal(results.get(this)?.kind, verdict === "complete" ? "whole" : "broken");
});
