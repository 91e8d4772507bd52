/**
 * @module
 * Steps that drive the state machine of a request with the outcomes of its sends, without sockets.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describePlatformSettings } from "../../bench/support/platformSettings.js";
import { createPlainPlacement, createProxyRequest, createRecord } from "../../bench/support/proxyFixtures.js";
import { createCodec } from "../../platform/createCodec.js";
import { decodeConfiguration } from "../../platform/decodeConfiguration.js";
import { decodeOperatorRecord } from "../../platform/decodeOperatorRecord.js";
import { decodeSettings } from "../../platform/decodeSettings.js";
import { decodeUpstreamRecord } from "../../platform/decodeUpstreamRecord.js";
import { readSettingsFile } from "../../platform/readSettingsFile.js";
import { errorTable } from "../../src/core/errors/errorTable.js";
import { parseFleetMessage } from "../../src/core/fleet/parseFleetMessage.js";
import { parsePeerState } from "../../src/core/fleet/peerState.js";
import { createFleetRetryBudget } from "../../src/core/proxy/createFleetRetryBudget.js";
import type { ProxyEffect, SendEffect } from "../../src/core/proxy/proxyEffects.js";
import type { ProxyRequest, SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import { isRetryable, serveProxyRequest } from "../../src/core/proxy/serveProxyRequest.js";
import type { SiteWorld } from "../support/siteWorld.js";

type OutcomeName =
    | "answered"
    | "failed"
    | "finished"
    | "notSent"
    | "busy"
    | "lost"
    | "begun"
    | "begunWithoutIds"
    | "expired"
    | "callerGone";

interface Run {
    readonly sends: readonly SendEffect[];
    /** Outcomes of the sends, in order. */
    readonly used: readonly OutcomeName[];
    /** Kind of the refusal, "answer STATUS", "cut", or the last outcome if there is none. */
    readonly end: string;
    /** Detail of the refusal; empty without one. */
    readonly detail: string;
}

interface Conditions {
    readonly hasBudget: boolean;
    readonly maxPlacements: number;
}

const runs = new WeakMap<SiteWorld, Run>();
const conditions = new WeakMap<SiteWorld, Conditions>();
const ample: Conditions = { hasBudget: true, maxPlacements: Infinity };

const answerOf = (status: number) => ({ status, headers: [], body: new Uint8Array(0) });

const outcomes: Readonly<Record<OutcomeName, SendOutcome>> = {
    answered: { kind: "answered", answer: answerOf(200) },
    failed: { kind: "answered", answer: answerOf(500) },
    finished: { kind: "finished" },
    notSent: { kind: "notSent", detail: "refused" },
    busy: { kind: "rejected", status: 503, reason: "busy", retryAfterMs: undefined },
    lost: { kind: "lost", detail: "reset", delivered: undefined },
    begun: { kind: "lost", detail: "reset", delivered: { hasEvents: true, lastEventId: "7" } },
    begunWithoutIds: { kind: "lost", detail: "reset", delivered: { hasEvents: true, lastEventId: undefined } },
    expired: { kind: "expired", delivered: undefined },
    callerGone: { kind: "callerGone" },
};

function requestOf(kind: string): ProxyRequest {
    if (kind === "resumable stream") {
        return createProxyRequest("stream", {}, true);
    }
    return createProxyRequest(kind as "idempotent" | "nonIdempotent" | "stream");
}

function describeEnd(effect: ProxyEffect): string | undefined {
    switch (effect.kind) {
        case "answer":
            return `answer ${effect.answer.status}`;
        case "refuse":
            return effect.refusal.kind;
        case "cut":
            return "cut";
        default:
            return undefined;
    }
}

function runRequest(req: ProxyRequest, names: readonly OutcomeName[], given: Conditions): Run {
    const sends: SendEffect[] = [];
    const used: OutcomeName[] = [];
    let end: string | undefined;
    let detail = "";
    let placements = 0;
    const steps = serveProxyRequest(req, {
        tryAcquireRetry: () => given.hasBudget,
        hasRetry: () => given.hasBudget,
        hasAlternative: () => true,
        onRetry: () => undefined,
    });
    let turn = steps.next();
    while (turn.done !== true) {
        const effect = turn.value;
        end = describeEnd(effect) ?? end;
        detail = effect.kind === "refuse" ? effect.refusal.detail : detail;
        if (effect.kind === "place") {
            placements += 1;
            const placement = createPlainPlacement(createRecord({ id: `u-${placements}` }));
            const refusal = { kind: "noUpstream", detail: "", retryAfterMs: 1 } as const;
            turn = steps.next(
                placements > given.maxPlacements ? { kind: "refused", refusal } : { kind: "placed", placement },
            );
            continue;
        }
        if (effect.kind === "send") {
            const name = names[sends.length] ?? "answered";
            sends.push(effect);
            used.push(name);
            turn = steps.next(outcomes[name]);
            continue;
        }
        turn = steps.next(undefined);
    }
    return { sends, used, end: end ?? used.at(-1) ?? "nothing", detail };
}

Given("the retry budget is used up", function(this: SiteWorld) {
    conditions.set(this, { ...ample, hasBudget: false });
});

Given("no upstream has free capacity after the first send", function(this: SiteWorld) {
    conditions.set(this, { ...ample, maxPlacements: 1 });
});

When("the sends of a {string} request end as {string}", function(this: SiteWorld, kind: string, names: string) {
    const given = conditions.get(this) ?? ample;
    runs.set(this, runRequest(requestOf(kind), names.split(" ") as OutcomeName[], given));
});

Then("it is sent {int} times and ends as {string}", function(this: SiteWorld, sends: number, end: string) {
    const run = runs.get(this);
    assert.deepEqual({ sends: run?.sends.length, end: run?.end }, { sends, end });
});

Then("its refusal says {string}", function(this: SiteWorld, reason: string) {
    assert.ok(runs.get(this)?.detail.includes(reason), runs.get(this)?.detail);
});

Then("the second send resumes after event {string}", function(this: SiteWorld, id: string) {
    assert.equal(runs.get(this)?.sends[1]?.lastEventId, id);
});

const runNames: ReadonlySet<OutcomeName> = new Set([
    "answered",
    "failed",
    "finished",
    "lost",
    "begun",
    "begunWithoutIds",
    "expired",
]);

/** Describes the guarantee that a run violates, or returns undefined. */
function findViolation(req: ProxyRequest, run: Run): string | undefined {
    const mayHaveRun = run.used.filter(name => runNames.has(name)).length;
    if (!isRetryable(req) && mayHaveRun > 1) {
        return "a request that must not run twice may have run twice";
    }
    if (mayHaveRun > req.route.attempts) {
        return "more upstreams may have run the request than its route allows";
    }
    const row = Object.entries(errorTable).find(([kind]) => kind === run.end)?.[1];
    if (row?.outcome === "notRun" && mayHaveRun > 0) {
        return `"${run.end}" states that the request did not run, but it may have`;
    }
    const hasBegun = run.used.includes("begun") || run.used.includes("begunWithoutIds");
    if (hasBegun && row !== undefined) {
        return "a stream that has begun is refused instead of aborted";
    }
    if (hasBegun && run.end.startsWith("answer")) {
        return "a whole answer follows on a stream that has begun";
    }
    return undefined;
}

const kinds = ["idempotent", "nonIdempotent", "stream", "resumable stream"];
const historyArbitrary = fc.record({
    kind: fc.constantFrom(...kinds),
    names: fc.array(fc.constantFrom(...Object.keys(outcomes) as OutcomeName[]), { maxLength: 7 }),
    hasBudget: fc.boolean(),
    maxPlacements: fc.integer({ min: 0, max: 6 }),
});

/** Returns whether a request of this kind can have these outcomes: only a stream can begin and finish. */
function fits(kind: string, names: readonly OutcomeName[]): boolean {
    const isStream = kind.endsWith("stream");
    return names.every(name => isStream || (!name.startsWith("begun") && name !== "finished"));
}

Then("over {int} random histories with seed {int} no guarantee is violated", function(numRuns: number, seed: number) {
    const property = fc.property(historyArbitrary, ({ kind, names, ...given }) => {
        fc.pre(fits(kind, names));
        const req = requestOf(kind);
        assert.equal(findViolation(req, runRequest(req, names, given)), undefined);
    });
    fc.assert(property, { numRuns, seed });
});

Then("the same check detects a request core that retries lost sends", function() {
    const req = requestOf("nonIdempotent");
    // The route allows retries; the check uses the kind that was promised to the caller.
    const faultyRun = runRequest({ ...req, route: { ...req.route, kind: "idempotent" } }, ["lost", "answered"], ample);
    assert.notEqual(findViolation(req, faultyRun), undefined);
});

Then(
    "{int} instances under random load with seed {int} stay within {float} of the requests and {int} retries in {int} s",
    function(count: number, seed: number, ratio: number, slack: number, windowS: number) {
        const windowMs = windowS * 1_000;
        const loadArbitrary = fc.array(
            fc.tuple(fc.integer({ min: 0, max: count - 1 }), fc.integer({ min: 0, max: 60 })),
            {
                minLength: 200,
                maxLength: 800,
            },
        );
        const property = fc.property(loadArbitrary, load => {
            const budgets = Array.from(
                { length: count },
                () => createFleetRetryBudget({ ratio, slack, windowMs, countInstances: () => count }),
            );
            const requests: number[] = [];
            const retries: number[] = [];
            let nowMs = 0;
            for (const [instance, stepMs] of load) {
                nowMs += stepMs;
                budgets[instance]!.recordRequest("adapt", nowMs);
                requests.push(nowMs);
                // Every request is retried as often as the budget allows.
                while (budgets[instance]!.tryAcquire("adapt", nowMs)) {
                    retries.push(nowMs);
                }
                const inWindow = (times: readonly number[]) => times.filter(time => time > nowMs - windowMs).length;
                assert.ok(inWindow(retries) <= inWindow(requests) * ratio + slack);
            }
        });
        fc.assert(property, { numRuns: 30, seed });
    },
);

Then("{int} random inputs with seed {int} make no decoder throw", function(numRuns: number, seed: number) {
    const codec = createCodec();
    const known = fc.constantFrom(
        "version",
        "routes",
        "services",
        "address",
        "slots",
        "state",
        "born",
        "models",
        "seq_no",
    );
    const jsonArbitrary = fc.oneof(fc.jsonValue(), fc.dictionary(known, fc.jsonValue()));
    const textArbitrary = fc.oneof(fc.string(), jsonArbitrary.map(value => JSON.stringify(value)));
    const headerArbitrary = fc.array(
        fc.tuple(
            fc.oneof(fc.constantFrom("Attempt-Id", "Host", "Time-Budget", "Prompt-Prefix", "Token-Count"), fc.string()),
            fc.string(),
        ),
    );
    const property = fc.property(textArbitrary, fc.uint8Array(), headerArbitrary, (text, bytes, headers) => {
        for (const value of [Buffer.from(text), bytes]) {
            decodeConfiguration(value);
            decodeUpstreamRecord({ key: "u-1", offset: 0, value });
            decodeOperatorRecord({ key: "config", offset: 0, value });
            decodeOperatorRecord({ key: "version/m", offset: 0, value });
        }
        decodeSettings(text);
        parseFleetMessage(text);
        parsePeerState(text);
        codec.readRequest("GET", text, headers.flat());
        codec.readAnswer(200, headers.map(([name, value]) => [name.toLowerCase(), value] as const), "u-1");
    });
    fc.assert(property, { numRuns, seed });
});

Then("reading the settings from a missing file reports why", () => {
    const read = readSettingsFile("no-such-directory/node.json");
    assert.ok(read.isErr);
    assert.match(read.error.join(" "), /ENOENT/);
});

type SettingsObject = Readonly<Record<string, unknown>>;

function describeSettings(): SettingsObject {
    const settings = describePlatformSettings({
        name: "entry-1",
        failureDomain: "north",
        ip: "10.0.0.1",
        firstPort: 7_340,
        seeds: ["10.0.0.2"],
        storeAddress: "10.0.0.9:8784",
    });
    return { ...settings as SettingsObject, limits: { memory_mb: 200, max_fds: 4_100 } };
}

/** Asserts that settings are valid without each of the fields, and with an empty one. */
function assertOptional(names: readonly string[], replace: (name: string, value: unknown) => SettingsObject): void {
    // JSON has no undefined: such a field is left out.
    const emptyValue: unknown = JSON.parse("null");
    for (const name of names) {
        for (const value of [undefined, emptyValue]) {
            const decoded = decodeSettings(JSON.stringify(replace(name, value)));
            assert.ok(decoded.isOk, `${name}: ${String(value)}`);
        }
    }
}

Then("settings are valid with {string} left out, or empty", (names: string) => {
    const settings = describeSettings();
    assertOptional(names.split(", "), (name, value) => ({ ...settings, [name]: value }));
});

Then("settings are valid with any of their bounds and limits left out, or empty", () => {
    const settings = describeSettings();
    for (const section of ["bounds", "limits"]) {
        const fields = settings[section] as SettingsObject;
        assertOptional(
            Object.keys(fields),
            (name, value) => ({ ...settings, [section]: { ...fields, [name]: value } }),
        );
    }
});

Then("settings whose bound {string} is a text are not valid", (name: string) => {
    const settings = describeSettings();
    const bounds = { ...settings["bounds"] as SettingsObject, [name]: "8" };
    assert.ok(decodeSettings(JSON.stringify({ ...settings, bounds })).isErr);
});
