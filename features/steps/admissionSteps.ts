/**
 * @module
 * Steps on who yields when connections or memory run short.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { chooseLeastProgress, type Progress } from "../../src/core/admission/chooseLeastProgress.js";
import {
    createMemoryBudget,
    type MemoryBudget,
    type MemoryReservation,
} from "../../src/core/memory/createMemoryBudget.js";
import { planMemory } from "../../src/core/memory/planMemory.js";
import { planSingleMemory } from "../../src/core/memory/planSingleMemory.js";
import { type AnswerHolding, type AnswerMemory, createAnswerMemory } from "../../src/core/proxy/createAnswerMemory.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface Body {
    readonly reservation: MemoryReservation;
    readonly progress: { readonly sinceMs: number; bytes: number; };
    readonly complete: () => void;
    isRefused: boolean;
}

interface AdmissionFixture {
    nowMs: number;
    connections: readonly Progress[];
    budget: MemoryBudget | undefined;
    readonly bodies: Body[];
    answers: AnswerMemory | undefined;
    readonly ended: number[];
    unread: AnswerHolding | undefined;
}

const fixtures = new WeakMap<SiteWorld, AdmissionFixture>();
const bytesPerMegabyte = 1_048_576;
const graceMs = 250;
const startMs = 10_000;

function getFixture(world: SiteWorld): AdmissionFixture {
    const fixture = fixtures.get(world)
        ?? {
            nowMs: startMs,
            connections: [],
            budget: undefined,
            bodies: [],
            answers: undefined,
            ended: [],
            unread: undefined,
        };
    fixtures.set(world, fixture);
    return fixture;
}

Given(
    /^connections that began ([\d, ]+) ms ago and have sent ([\d, ]+) bytes$/,
    function(this: SiteWorld, began: string, sent: string) {
        const bytes = sent.split(",").map(Number);
        getFixture(this).connections = began.split(",").map((ageMs, index) => ({
            sinceMs: startMs - Number(ageMs),
            bytes: bytes[index]!,
        }));
    },
);

Then("the connection that yields is number {int}", function(this: SiteWorld, number: number) {
    const { connections, nowMs } = getFixture(this);
    const chosen = chooseLeastProgress(connections, connection => connection, nowMs);
    assert.equal(connections.indexOf(chosen!) + 1, number);
});

Then(
    "over {int} random crowds with seed {int} no connection that began in the last {int} ms yields beside an older one",
    (numRuns: number, seed: number, newMs: number) => {
        const connection = fc.record({ sinceMs: fc.integer({ min: 0, max: startMs }), bytes: fc.nat(100_000) });
        const crowd = fc.array(connection, { minLength: 1 });
        fc.assert(
            fc.property(crowd, connections => {
                const chosen = chooseLeastProgress(connections, one => one, startMs)!;
                const isNew = startMs - chosen.sinceMs <= newMs;
                return !isNew || connections.every(one => startMs - one.sinceMs < graceMs);
            }),
            { seed, numRuns },
        );
    },
);

function addBody(fixture: AdmissionFixture, bytes: number): Body & { readonly hasRoom: boolean; } {
    const reservation = fixture.budget!.open();
    const progress = { sinceMs: fixture.nowMs, bytes: 0 };
    const complete = reservation.yieldWhile({
        readProgress: () => progress,
        evict: () => {
            body.isRefused = true;
        },
    });
    const body = { reservation, progress, complete, isRefused: false, hasRoom: reservation.tryGrow(bytes) };
    fixture.bodies.push(body);
    return body;
}

Given(
    "a budget of {int} bytes for bodies that arrive, of which body 1 holds {int} bytes and body 2 holds {int}",
    function(this: SiteWorld, maxBytes: number, first: number, second: number) {
        const fixture = getFixture(this);
        fixture.budget = createMemoryBudget({ maxBytes, onReleased: () => undefined, now: () => fixture.nowMs });
        assert.ok(addBody(fixture, first).hasRoom);
        assert.ok(addBody(fixture, second).hasRoom);
    },
);

When("body {int} is complete", function(this: SiteWorld, number: number) {
    getFixture(this).bodies[number - 1]!.complete();
});

When(
    "{int} ms have passed, in which {int} bytes of body {int} and {int} bytes of body {int} have arrived",
    function(this: SiteWorld, ms: number, bytes: number, number: number, otherBytes: number, other: number) {
        const fixture = getFixture(this);
        fixture.nowMs += ms;
        fixture.bodies[number - 1]!.progress.bytes += bytes;
        fixture.bodies[other - 1]!.progress.bytes += otherBytes;
    },
);

Then(
    "body {int} finds room for {int} bytes, since body {int} was refused",
    function(this: SiteWorld, _: number, bytes: number, refused: number) {
        const fixture = getFixture(this);
        assert.ok(addBody(fixture, bytes).hasRoom);
        assert.deepEqual(fixture.bodies.flatMap(({ isRefused }, index) => isRefused ? [index + 1] : []), [refused]);
    },
);

Then("body {int} finds no room for {int} bytes", function(this: SiteWorld, _: number, bytes: number) {
    const fixture = getFixture(this);
    const before = fixture.bodies.filter(({ isRefused }) => isRefused).length;
    assert.equal(addBody(fixture, bytes).hasRoom, false);
    assert.equal(fixture.bodies.filter(({ isRefused }) => isRefused).length, before);
});

Then("{int} small bodies of {int} bytes find room", function(this: SiteWorld, count: number, bytes: number) {
    const fixture = getFixture(this);
    const bodies = Array.from({ length: count }, () => addBody(fixture, bytes));
    assert.ok(bodies.every(({ hasRoom }) => hasRoom));
});

Given(
    "a memory of {int} bytes for answers with one of {int} bytes that was made {int} ms ago and one of {int} made {int} ms ago",
    function(this: SiteWorld, maxBytes: number, first: number, firstMs: number, second: number, secondMs: number) {
        const fixture = getFixture(this);
        const answers = createAnswerMemory(maxBytes, () => undefined, { now: () => fixture.nowMs });
        fixture.answers = answers;
        [[first, firstMs], [second, secondMs]].forEach(([bytes, ageMs]) => {
            fixture.nowMs = startMs - ageMs!;
            answers.hold(bytes!, () => fixture.ended.push(bytes!));
        });
        fixture.nowMs = startMs;
    },
);

When("another answer is collected and grows to {int} bytes", function(this: SiteWorld, bytes: number) {
    const { answers, ended } = getFixture(this);
    answers!.open(() => ended.push(bytes)).set(bytes);
});

When(
    "2 answers are collected and grow to {int} and to {int} bytes",
    function(this: SiteWorld, first: number, second: number) {
        const { answers, ended } = getFixture(this);
        const [large, small] = [first, second].map(bytes => {
            const holding = answers!.open(() => {
                ended.push(bytes);
                holding.close();
            });
            return { holding, bytes };
        });
        small!.holding.set(small!.bytes);
        large!.holding.set(large!.bytes);
    },
);

Then(
    /^of (?:the answers only that|them only the one) of (\d+) bytes is ended$/,
    function(this: SiteWorld, bytes: string) {
        assert.deepEqual(getFixture(this).ended, [Number(bytes)]);
    },
);

Then("no answer is ended", function(this: SiteWorld) {
    assert.deepEqual(getFixture(this).ended, []);
});

Then(
    "of {int} MB at most {int} MB are for bodies and {int} MB for answers",
    (megabytes: number, bodies: number, answers: number) => {
        const { bodyBytes, answerBytes } = planMemory(megabytes * bytesPerMegabyte);
        const rounded = [bodyBytes, answerBytes].map(bytes => Math.round(bytes / bytesPerMegabyte));
        assert.deepEqual(rounded, [bodies, answers]);
    },
);

Then(
    "for each memory from {int} to {int} MB the plan leaves {int} MB for the program",
    (least: number, most: number, program: number) => {
        for (let megabytes = least; megabytes <= most; megabytes += 1) {
            const limits: readonly number[] = Object.values(planMemory(megabytes * bytesPerMegabyte));
            const planned = limits.reduce((sum, bytes) => sum + bytes, 0) / bytesPerMegabyte;
            assert.ok(planned + program <= megabytes, `${planned} of ${megabytes} MB`);
        }
    },
);

Given(
    "a memory of {int} bytes for answers with {int} bytes that are read, {int} behind another and {int} that are not read",
    function(this: SiteWorld, maxBytes: number, read: number, behind: number, unread: number) {
        const fixture = getFixture(this);
        const answers = createAnswerMemory(maxBytes, () => undefined, { now: () => fixture.nowMs });
        fixture.answers = answers;
        answers.hold(read, () => fixture.ended.push(1), () => read - (fixture.nowMs - startMs) / 10);
        answers.hold(behind, () => fixture.ended.push(2), () => undefined);
        fixture.unread = answers.hold(unread, () => fixture.ended.push(3));
    },
);

When(
    "{int} ms pass, and another answer is collected and grows to {int} bytes",
    function(this: SiteWorld, ms: number, bytes: number) {
        const { answers, ended } = getFixture(this);
        getFixture(this).nowMs += ms;
        answers!.open(() => ended.push(4)).set(bytes);
    },
);

Then(
    "only the one that is not read is ended, and {int} bytes are counted",
    function(this: SiteWorld, bytes: number) {
        const { answers, ended } = getFixture(this);
        assert.deepEqual(ended, [3]);
        assert.equal(answers!.totalBytes(), bytes);
    },
);

Then(
    "with {int} MB one body finds room for {int} MB, and beside it none for another of {int} MB",
    (megabytes: number, body: number, other: number) => {
        const memoryBytes = megabytes * bytesPerMegabyte;
        const { bodyBytes: maxBytes } = planMemory(memoryBytes);
        const { bodyBytes: maxSingleBytes } = planSingleMemory(memoryBytes);
        const budget = createMemoryBudget({
            maxBytes,
            maxSingleBytes,
            onReleased: () => undefined,
            now: () => startMs,
        });
        const reservation = budget.open();
        assert.ok(reservation.tryGrow(body * bytesPerMegabyte));
        assert.equal(budget.open().tryGrow(other * bytesPerMegabyte), false);
        reservation.release();
        assert.ok(budget.open().tryGrow(other * bytesPerMegabyte));
    },
);

Then(
    "with {int} MB one answer may grow to {int} MB, and beside it none to another {int} MB",
    (megabytes: number, answer: number, other: number) => {
        const memoryBytes = megabytes * bytesPerMegabyte;
        const { answerBytes } = planMemory(memoryBytes);
        const ended: number[] = [];
        const options = { maxSingleBytes: planSingleMemory(memoryBytes).answerBytes };
        const answers = createAnswerMemory(answerBytes, () => undefined, options);
        answers.open(() => ended.push(answer)).set(answer * bytesPerMegabyte);
        assert.equal(ended.length, 0);
        answers.open(() => ended.push(other)).set(other * bytesPerMegabyte);
        assert.deepEqual(ended, [answer]);
    },
);

When("its holding shrinks to {int} bytes and is closed", function(this: SiteWorld, bytes: number) {
    const { unread, ended } = getFixture(this);
    unread!.set(bytes);
    unread!.close();
    ended.length = 0;
});

Then(
    "another collected answer of {int} bytes is ended, since the limit counts all others",
    function(this: SiteWorld, bytes: number) {
        const { answers, ended } = getFixture(this);
        answers!.open(() => ended.push(5)).set(bytes);
        assert.deepEqual(ended, [5]);
    },
);
