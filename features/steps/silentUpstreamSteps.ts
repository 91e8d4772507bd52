/**
 * @module
 * Steps that send a request to an upstream that says nothing for a while, on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { createPlacerFixture, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import { createProxyRequest, createRecord, createRoute } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import { runSteps } from "../../src/core/effects/runSteps.js";
import type { ProxyEffect, ProxyEffectResults } from "../../src/core/proxy/proxyEffects.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import { serveProxyRequest } from "../../src/core/proxy/serveProxyRequest.js";
import { createConnectionPool } from "../../src/io/proxy/createConnectionPool.js";
import type { SendToUpstream } from "../../src/io/proxy/upstreamSenderTypes.js";
import { createIndifferentCaller, createSenderFixture } from "../support/createSenderFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface SilenceFixture {
    readonly attempts: number;
    readonly hasBudget: boolean;
    /** Connections whose request is not answered, in the order of the requests. */
    readonly unanswered: Socket[];
    readonly placing: PlacerFixture;
    sends: number;
    end: string | undefined;
}

const fixtures = new WeakMap<SiteWorld, SilenceFixture>();

function getFixture(world: SiteWorld): SilenceFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

Given(
    /^a request whose route allows (\d+) runs, with a retry budget that is (left|used up)$/,
    function(this: SiteWorld, attempts: string, budget: string) {
        const placing = createPlacerFixture(createVirtualClock(47), []);
        const hasBudget = budget === "left";
        const attemptCount = Number(attempts);
        fixtures.set(this, {
            attempts: attemptCount,
            hasBudget,
            unanswered: [],
            placing,
            sends: 0,
            end: undefined,
        });
    },
);

const answer = "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nbody";

Given(
    "{int} upstreams, of which {int} are silent",
    async function(this: SiteWorld, count: number, silentCount: number) {
        const { placing, unanswered } = getFixture(this);
        const records = [];
        for (let index = 0; index < count; index += 1) {
            const upstream = await startScriptedUpstream(({ socket }) => {
                if (unanswered.length === 0) {
                    unanswered.push(socket);
                    return;
                }
                socket.write(answer);
            });
            this.cleanups.push(() => upstream.stop());
            records.push(createRecord({ id: `u-${index}`, address: upstream.address }));
        }
        placing.registry.applyList(records, 0);
        if (silentCount === count) {
            records.forEach(({ id }) => placing.health.recordSent(id, "of another caller", 0));
        }
    },
);

function createSender(world: SiteWorld, { placing }: SilenceFixture): SendToUpstream {
    const { clock, health } = placing;
    const pool = createConnectionPool(clock);
    world.cleanups.unshift(() => pool.close());
    return createSenderFixture({
        clock,
        connections: pool,
        health,
    });
}

/** Serves the request until it has ended. */
function serve(fixture: SilenceFixture, req: ProxyRequest, send: SendToUpstream): Promise<void> {
    const { placer } = fixture.placing;
    const caller = createIndifferentCaller();
    const steps = serveProxyRequest(req, {
        tryAcquireRetry: () => fixture.hasBudget,
        hasRetry: () => fixture.hasBudget,
        hasAlternative: placer.hasAlternative,
        onRetry: () => undefined,
    });
    return new Promise((resolve, reject) => {
        const finish = (end: string, resume: (result: undefined) => void) => {
            fixture.end = end;
            resume(undefined);
        };
        runSteps<void, ProxyEffect, ProxyEffectResults>(
            steps,
            {
                place: (effect, resume) => {
                    placer.place(req, effect, resume);
                },
                send: (effect, resume) => {
                    fixture.sends += 1;
                    send(req, effect, caller, outcome => {
                        placer.end(req);
                        resume(outcome);
                    });
                },
                answer: (effect, resume) => finish(`answer ${effect.answer.status}`, resume),
                refuse: (effect, resume) => finish(`${effect.refusal.kind}: ${effect.refusal.detail}`, resume),
                cut: (_, resume) => finish("cut", resume),
            },
            resolve,
            reject,
        );
    });
}

When(
    "the upstream of the request says nothing for {int} ms and then answers",
    async function(this: SiteWorld, silenceMs: number) {
        const fixture = getFixture(this);
        const { attempts, placing, unanswered } = fixture;
        const req = createProxyRequest("idempotent", { route: createRoute({ attempts }), deadlineMs: 4_000 });
        const served = serve(fixture, req, createSender(this, fixture));
        while (unanswered.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        placing.clock.runUntil(silenceMs);
        unanswered[0]!.write(answer);
        await served;
    },
);

Then("the request was sent {int} times and is answered", function(this: SiteWorld, sends: number) {
    const fixture = getFixture(this);
    assert.deepEqual({ end: fixture.end, sends: fixture.sends }, { end: "answer 200", sends });
});
