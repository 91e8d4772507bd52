/**
 * @module
 * Steps that drive the core of a request with effects and their results, without sockets.
 */
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { ok } from "true-myth/result";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { Customer, Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import type { CancelEffect, Effect, ForwardEnd } from "../../src/core/effects/effectTypes.js";
import { createRefusal } from "../../src/core/errors/createRefusal.js";
import { type ErrorKind, errorTable, type ExecutionOutcome } from "../../src/core/errors/errorTable.js";
import type { Admission, AdmissionVerdict } from "../../src/core/limits/admissionTypes.js";
import { alignRefusal } from "../../src/core/request/alignRefusal.js";
import { combineOutcomes } from "../../src/core/request/combineOutcomes.js";
import { createRetryBudget } from "../../src/core/request/createRetryBudget.js";
import { createStreamReaders } from "../../src/core/request/createStreamReaders.js";
import type { ModelRequest } from "../../src/core/request/requestTypes.js";
import {
    type ModelRequestReport,
    retryJoinWindowMs,
    serveModelRequest,
} from "../../src/core/request/serveModelRequest.js";
import { createEventScanner } from "../../src/core/stream/createEventScanner.js";
import type { Clock } from "../../src/core/time/clock.js";
import { createPauseDetector } from "../../src/core/time/createPauseDetector.js";
import { awaitAdmission } from "../../src/io/http/awaitAdmission.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface CoreRun {
    readonly effects: readonly Effect[];
    readonly report: ModelRequestReport;
    readonly readers: ReturnType<typeof createStreamReaders>;
}

const runs = new WeakMap<SiteWorld, CoreRun>();

const upstream = { id: "engine-1", address: "127.0.0.1:1" } as Upstream;
const customer = { id: "clinic", classOfService: "standard" } as Customer;
const request: ModelRequest = {
    requestId: "r1",
    customer,
    idempotencyKey: "k",
    deadlineMs: 1_000,
    model: { kind: "model", id: "easy-read", owner: "o", weightsVersion: "v1", minimumServingShare: 0.5 },
    path: "/v1/completions",
    prompt: "p",
    maxOutputTokens: 64,
    isStreaming: true,
    body: {},
};
const head = {
    status: 200,
    contentType: "text/event-stream",
    incarnation: "i",
    weightsVersion: "v1",
    cachedTokens: 0,
    isNotRun: false,
    retryAfterMs: undefined,
};

/** Runs the core with `now` as its clock; every forward ends as given. */
function runCore(now: () => number, end: ForwardEnd, delivered: number): CoreRun {
    const readers = createStreamReaders();
    const effects: Effect[] = [];
    const steps = serveModelRequest(request, {
        chooseUpstream: route =>
            route.excluded.size === 0
                ? ok({ upstream, cachedBlocks: 0, candidates: [] })
                : ok({ upstream: { ...upstream, id: "engine-2" }, cachedBlocks: 0, candidates: [] }),
        trackInFlight: () => undefined,
        reportFeedback: () => undefined,
        readers,
        retryBudget: createRetryBudget({ retryRatio: 0, capacity: 10 }),
        countRetry: () => undefined,
        countDenial: () => undefined,
        now,
        random: () => 0.5,
        silenceTimeoutMs: 100,
    });
    let turn = steps.next();
    while (turn.done !== true) {
        effects.push(turn.value);
        turn = steps.next(answer(turn.value, end, delivered));
    }
    return { effects, report: turn.value, readers };
}

function answer(effect: Effect, end: ForwardEnd, delivered: number): unknown {
    switch (effect.kind) {
        case "admit":
            return { kind: "admitted" };
        case "send":
            return { kind: "answered", head };
        case "forward":
            return { end, delivered, outputTokens: delivered };
        case "wait":
            return "elapsed";
        default:
            return undefined;
    }
}

When("the caller of a stream with a key disconnects", function(this: SiteWorld) {
    runs.set(this, runCore(() => 0, "callerGone", 3));
});

function findCancel(world: SiteWorld): CancelEffect {
    return runs.get(world)!.effects.find(effect => effect.kind === "cancel")!;
}

Then("the cancel is delayed by the retry join window", function(this: SiteWorld) {
    assert.equal(findCancel(this).delayMs, retryJoinWindowMs);
    assert.equal(findCancel(this).isWanted(), true);
});

Then("a reader that joined meanwhile prevents it", function(this: SiteWorld) {
    const cancel = findCancel(this);
    runs.get(this)!.readers.add(cancel.streamId);
    assert.equal(cancel.isWanted(), false);
});

When("the deadline passes before the request was sent", function(this: SiteWorld) {
    runs.set(this, runCore(() => request.deadlineMs, "complete", 0));
});

When("a stream is permanently interrupted after {int} events", function(this: SiteWorld, delivered: number) {
    runs.set(this, runCore(() => 0, "cut", delivered));
});

function findUsedTokens(world: SiteWorld): readonly number[] {
    const settles = runs.get(world)!.effects.filter(effect => effect.kind === "settle");
    assert.equal(settles.length, 1);
    return [settles[0]!.used.promptTokens, settles[0]!.used.outputTokens];
}

Then(
    "it is refused as {string} and its admission is completed with no tokens used",
    function(this: SiteWorld, kind: string) {
        assert.equal(runs.get(this)!.report.refusal?.kind, kind);
        assert.deepEqual(findUsedTokens(this), [0, 0]);
    },
);

Then(
    "it is refused as {string} and its admission is completed with {int} output tokens",
    function(this: SiteWorld, kind: string, tokens: number) {
        assert.equal(runs.get(this)!.report.refusal?.kind, kind);
        assert.deepEqual(findUsedTokens(this), [1, tokens]);
    },
);

Then("its wait is cancelled, and a slot that is granted later is released with no tokens used", function() {
    const verdicts: AdmissionVerdict[] = [];
    const calls: unknown[] = [];
    let decide: (verdict: AdmissionVerdict) => void = () => undefined;
    const admission: Admission = {
        admit: (_, decideLater) => {
            decide = decideLater;
        },
        cancel: requestId => calls.push(["cancel", requestId]),
        complete: (requestId, used) => calls.push(["complete", requestId, used]),
    };
    const req = { requestId: "r1", customer, cost: { promptTokens: 1, outputTokens: 1 }, deadlineMs: 1_000 };
    const onDisconnect = awaitAdmission(req, { admission, clock: createVirtualClock(1) }, one => verdicts.push(one));
    onDisconnect!();
    decide({ kind: "admitted" });
    assert.deepEqual(verdicts.map(one => one.kind === "refused" && one.refusal.kind), ["cancelled"]);
    assert.deepEqual(calls, [["cancel", "r1"], ["complete", "r1", { promptTokens: 0, outputTokens: 0 }]]);
});

const eventCount = 12;
const events = Array.from(
    { length: eventCount },
    (_, index) => `id: ${index}\ndata: ${index === eventCount - 1 ? "[DONE]" : `w${index}`}\n\n`,
);

/** Scans a text in pieces of the given lengths and returns the bytes that are delivered to the caller. */
function scanPieces(scanner: ReturnType<typeof createEventScanner>, text: string, lengths: readonly number[]): string {
    let remaining = Buffer.alloc(0);
    let received = "";
    let start = 0;
    for (let piece = 0; start < text.length; piece += 1) {
        const length = lengths[piece % lengths.length]!;
        remaining = Buffer.concat([remaining, Buffer.from(text.slice(start, start + length))]);
        start += length;
        const end = scanner.scan(remaining);
        received += remaining.subarray(scanner.undeliveredStart(), end).toString();
        remaining = remaining.subarray(end);
    }
    return received;
}

Then(
    "the scanner delivers every event once for any split, heartbeats and replays with seed {int}",
    function(seed: number) {
        const split = fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1 });
        const cut = fc.nat(eventCount - 1);
        fc.assert(
            fc.property(split, cut, fc.nat(), fc.boolean(), (lengths, cutAt, back, hasHeartbeats) => {
                const scanner = createEventScanner();
                const beat = hasHeartbeats ? ": heartbeat\n\n" : "";
                const first = scanPieces(scanner, events.slice(0, cutAt).join(beat), lengths);
                scanner.reopen();
                const replayFrom = back % (cutAt + 1);
                const second = scanPieces(scanner, beat + events.slice(replayFrom).join(beat), lengths);
                assert.equal((first + second).replaceAll(": heartbeat\n\n", ""), events.join(""));
                assert.equal(scanner.state(), "ended");
            }),
            { seed, numRuns: 500 },
        );
    },
);

Then("the scanner rejects a missing event after any delivered event with seed {int}", function(seed: number) {
    fc.assert(
        fc.property(fc.integer({ min: 0, max: eventCount - 2 }), missing => {
            const scanner = createEventScanner();
            const received = scanPieces(scanner, events.filter((_, index) => index !== missing).join(""), [1000]);
            assert.equal(received, events.slice(0, missing).join(""));
            assert.equal(scanner.state(), "outOfOrder");
        }),
        { seed, numRuns: 100 },
    );
});

Then(
    "no refusal says not run when an attempt may have run, for any attempts with seed {int}",
    function(seed: number) {
        const outcome = fc.constantFrom<ExecutionOutcome>("run", "notRun", "unknown");
        const kind = fc.constantFrom(...Object.keys(errorTable) as ErrorKind[]);
        fc.assert(
            fc.property(fc.array(outcome), kind, (outcomes, last) => {
                const combined = outcomes.reduce(combineOutcomes, "notRun");
                const statedOutcome = errorTable[alignRefusal(createRefusal(last, ""), combined).kind].outcome;
                assert.ok(statedOutcome !== "notRun" || outcomes.every(one => one === "notRun"));
            }),
            { seed, numRuns: 500 },
        );
    },
);

Then(
    "{int} failing requests with share {float} and reserve {int} are followed by at most {int} retries",
    function(requests: number, share: number, reserve: number, maxRetries: number) {
        const budget = createRetryBudget({ retryRatio: share, capacity: reserve });
        let retries = 0;
        for (let index = 0; index < requests; index += 1) {
            budget.recordRequest();
            while (budget.tryAcquire()) {
                retries += 1;
            }
        }
        assert.ok(retries > 0 && retries <= maxRetries, String(retries));
    },
);

Then(
    "a pause detector reports a jump of {int} ms once and no pause in steady time",
    function(jumpMs: number) {
        const virtual = createVirtualClock(1);
        let skippedMs = 0;
        const clock: Clock = { ...virtual, now: () => virtual.now() + skippedMs };
        const pauses: number[] = [];
        const detector = createPauseDetector(clock, pausedMs => pauses.push(pausedMs));
        detector.start();
        virtual.runUntil(60_000);
        assert.deepEqual(pauses, []);
        skippedMs = jumpMs;
        detector.check();
        virtual.runUntil(120_000);
        assert.deepEqual(pauses, [jumpMs]);
        detector.stop();
    },
);
