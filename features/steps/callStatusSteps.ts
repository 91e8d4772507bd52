/**
 * @module
 * Steps on the statuses of answers to calls of an instance.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import { requestOnce } from "../../src/io/_lib/requestOnce.js";
import { findForm } from "../support/answerForms.js";
import { connectionEndings } from "../support/connectionEndings.js";
import type { SiteWorld } from "../support/siteWorld.js";

const outcomes = new WeakMap<SiteWorld, string>();

When(/^an instance calls a server that answers with (.+)$/, async function(this: SiteWorld, form: string) {
    const { head, body, end = "waits" } = findForm(form);
    const server = await startScriptedUpstream(({ socket }) => {
        socket.write(head + body);
        connectionEndings.get(end)?.(socket);
    });
    this.cleanups.push(server.stop);
    const { signal } = new AbortController();
    outcomes.set(
        this,
        await requestOnce(server.address, "/", { signal }).then(() => "is answered", () => "has failed"),
    );
});

Then(/^the call (has failed|is answered)$/, function(this: SiteWorld, outcome: string) {
    assert.equal(outcomes.get(this), outcome);
});
