/**
 * @module
 * Steps that play a load on a placer and check what the callers get.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createPlacerFixture, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { computeCallerDeadlines } from "../../src/core/proxy/computeCallerDeadlines.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** What one caller got. */
interface CallerResult {
    readonly req: ProxyRequest;
    readonly kind: "answered" | "refused";
    readonly atMs: number;
}

interface LoadFixture {
    readonly placing: PlacerFixture;
    readonly serviceMs: number;
    readonly capacityPerSecond: number;
    readonly results: CallerResult[];
    /** How often a refused caller comes back. */
    maxReturns: number;
}

const loads = new WeakMap<SiteWorld, LoadFixture>();

/** Tokens of a request of which two fit into an engine's memory. */
const largePromptTokens = 9_000;
const concurrentRequests = 2;

/** Time from a caller's first request to its deadline, in milliseconds. */
const callerTimeoutMs = 4_000;

function createLargeRequest(id: string, nowMs: number, deadlineMs: number): ProxyRequest {
    const parts = [{ id: `own-${id}`, tokens: largePromptTokens }];
    const prompt = createPrompt({ parts, promptTokens: largePromptTokens });
    return createProxyRequest("stream", { id, prompt, arrivedMs: nowMs, deadlineMs });
}

function serve(load: LoadFixture, req: ProxyRequest, returns = 0): void {
    const { clock, placer } = load.placing;
    placer.place(req, { kind: "place", excluded: [] }, result => {
        if (result.kind === "refused" && returns < load.maxReturns) {
            clock.after(result.refusal.retryAfterMs ?? 0, () => {
                serve(load, createLargeRequest(`${req.id}-again`, clock.now(), req.deadlineMs), returns + 1);
            });
            return;
        }
        if (result.kind !== "placed") {
            load.results.push({ req, kind: "refused", atMs: clock.now() });
            return;
        }
        clock.after(load.serviceMs, () => {
            load.results.push({ req, kind: "answered", atMs: clock.now() });
            placer.end(req);
        });
    });
}

Given(
    "an engine with room for two requests that answers each in {int} ms",
    function(this: SiteWorld, serviceMs: number) {
        const placing = createPlacerFixture(createVirtualClock(1), ["u-1"]);
        const capacityPerSecond = concurrentRequests * 1_000 / serviceMs;
        loads.set(this, { placing, serviceMs, capacityPerSecond, results: [], maxReturns: 0 });
    },
);

Given("refused callers come back once after the delay of their refusal", function(this: SiteWorld) {
    loads.get(this)!.maxReturns = 1;
});

When(
    "a request arrives every {int} ms for {int} s",
    function(this: SiteWorld, spacingMs: number, seconds: number) {
        const load = loads.get(this)!;
        const { clock } = load.placing;
        for (let atMs = 0; atMs < seconds * 1_000; atMs += spacingMs) {
            clock.after(
                atMs,
                () => serve(load, createLargeRequest(`r-${atMs}`, clock.now(), clock.now() + callerTimeoutMs)),
            );
        }
        clock.runUntil(clock.now() + seconds * 1_000 + 5_000);
        assert.equal(load.results.length, seconds * 1_000 / spacingMs);
    },
);

Then(
    "from second {int} on, each refused caller has at least half of its time left",
    function(this: SiteWorld, second: number) {
        const refused = loads.get(this)!.results
            .filter(({ req, kind }) => kind === "refused" && req.arrivedMs >= second * 1_000);
        assert.ok(refused.length > 0);
        for (const { req, atMs } of refused) {
            const patienceMs = computeCallerDeadlines(req).disconnectMs - req.arrivedMs;
            assert.ok(atMs - req.arrivedMs <= patienceMs / 2, `refused after ${atMs - req.arrivedMs} ms`);
        }
    },
);

const listAnswered = ({ results }: LoadFixture) => results.filter(({ kind }) => kind === "answered");

Then(
    "of {int} s of capacity at least {int} % is used",
    function(this: SiteWorld, seconds: number, percent: number) {
        const load = loads.get(this)!;
        const answers = listAnswered(load).length;
        assert.ok(answers >= seconds * load.capacityPerSecond * percent / 100, `${answers} answers`);
    },
);

Then("from second {int} on each answer is on time", function(this: SiteWorld, second: number) {
    const load = loads.get(this)!;
    const answered = listAnswered(load).filter(({ req }) => req.arrivedMs >= second * 1_000);
    assert.ok(answered.length > 0);
    for (const { req, atMs } of answered) {
        const startedMs = atMs - load.serviceMs;
        const { latencyDeadlineMs } = computeCallerDeadlines(req);
        assert.ok(startedMs <= latencyDeadlineMs, `placed ${startedMs - latencyDeadlineMs} ms too late`);
    }
});

Then("no caller is refused", function(this: SiteWorld) {
    assert.deepEqual(loads.get(this)!.results.filter(({ kind }) => kind === "refused"), []);
});
