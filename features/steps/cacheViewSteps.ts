/**
 * @module
 * Steps that check which cached blocks the cache view reports, and its bounds.
 */
import { Given, Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { mixBits } from "../../src/core/_lib/mixBits.js";
import { applyHintDigest } from "../../src/core/cache/applyHintDigest.js";
import { type CacheView, createCacheView } from "../../src/core/cache/createCacheView.js";
import { createEventBackoff } from "../../src/core/cache/createEventBackoff.js";
import { createHintDigest } from "../../src/core/cache/createHintDigest.js";
import { createHintExchange } from "../../src/core/cache/createHintExchange.js";
import { type CacheScope, formatCacheSalt, hashBlocks } from "../../src/core/cache/hashBlocks.js";
import { blockCharacters } from "../../src/core/constants.js";
import type { CacheEvent, CacheEventPage } from "../../src/core/ports/enginePort.js";

type HashChain = typeof hashBlocks;

interface Operation {
    readonly kind: "send" | "crash" | "answer" | "events" | "query";
    readonly engine: number;
    readonly scope: number;
    readonly prompt: number;
    /** Whether the next cache event of the engine is lost. */
    readonly isLost: boolean;
}

const scopes: readonly CacheScope[] = ["a", "b"].flatMap(customer =>
    ["v1", "v2"].flatMap(weightsVersion =>
        [undefined, "easy"].map(adapter => ({ customer, model: "m", weightsVersion, adapter }))
    )
);
const commonPrefix = "h".repeat(3 * blockCharacters);
const prompts = ["x", "y", "z"].map(letter => commonPrefix + letter.repeat(2 * blockCharacters));
const engineIds = ["engine-1", "engine-2"];
const runs = { seed: 4, numRuns: 300 };
const hintBytes = 16;
const slotBytes = 512;

const operationArbitrary: fc.Arbitrary<Operation> = fc.record({
    kind: fc.constantFrom("send", "send", "crash", "answer", "events", "query", "query"),
    engine: fc.nat(engineIds.length - 1),
    scope: fc.nat(scopes.length - 1),
    prompt: fc.nat(prompts.length - 1),
    isLost: fc.boolean(),
});

interface EngineModel {
    readonly id: string;
    incarnation: number;
    sequence: number;
    /** Events that were not lost, each with the text of its block. */
    events: readonly (CacheEvent & { readonly text: string; })[];
    hasLost: boolean;
    /** Incarnation whose event position the view knows; 0 for none. */
    positionIncarnation: number;
    /** Incarnation that was last reported to the view. */
    reportedIncarnation: number;
    /** Blocks reported to the view since it last had to discard its hints, as texts and not as hashes. */
    readonly reported: Set<string>;
}

function updateIncarnation(engine: EngineModel): void {
    if (engine.reportedIncarnation !== engine.incarnation) {
        engine.reported.clear();
        engine.reportedIncarnation = engine.incarnation;
    }
}

function readEvents(view: CacheView, engine: EngineModel): void {
    updateIncarnation(engine);
    if (engine.hasLost && engine.positionIncarnation === engine.incarnation) {
        engine.reported.clear();
    }
    engine.events.forEach(event => engine.reported.add(event.text));
    const page = {
        incarnation: `${engine.id}/${engine.incarnation}`,
        nextSequence: engine.sequence,
        events: engine.events,
    };
    view.applyEvents(engine.id, page, 0);
    engine.events = [];
    engine.hasLost = false;
    engine.positionIncarnation = engine.incarnation;
}

/** Runs operations against modelled engines; false when the view reported a block that it must not report. */
function isCorrect(view: CacheView, hashChain: HashChain, operations: readonly Operation[]): boolean {
    const engines = engineIds.map((id): EngineModel => ({
        id,
        incarnation: 1,
        sequence: 0,
        events: [],
        hasLost: false,
        positionIncarnation: 0,
        reportedIncarnation: 0,
        reported: new Set(),
    }));
    return operations.every(({ kind, engine: index, scope, prompt, isLost }) => {
        const engine = engines[index]!;
        const text = prompts[prompt]!;
        const chain = hashChain(scopes[scope]!, text);
        const textOf = (blocks: number) =>
            `${formatCacheSalt(scopes[scope]!)}|${text.slice(0, blocks * blockCharacters)}`;
        if (kind === "query") {
            return view.findHolders(chain, 0).every(holder =>
                engines.find(one => one.id === holder.upstream)!.reported.has(textOf(holder.cachedBlocks))
            );
        }
        if (kind === "events") {
            readEvents(view, engine);
        }
        else if (kind === "crash") {
            Object.assign(engine, { incarnation: engine.incarnation + 1, sequence: 0, events: [], hasLost: false });
        }
        else {
            updateIncarnation(engine);
            view.recordIncarnation(engine.id, `${engine.id}/${engine.incarnation}`);
            view.recordCached(engine.id, chain, 0);
            chain.forEach((_, block) => engine.reported.add(textOf(block + 1)));
            const event = { sequence: engine.sequence, action: "stored" as const, block: chain[0]!.toString(16) };
            engine.events = isLost ? engine.events : [...engine.events, { ...event, text: textOf(1) }];
            engine.hasLost ||= isLost;
            engine.sequence += 1;
        }
        return true;
    });
}

function findCounterexample(createView: () => CacheView, hashChain: HashChain): unknown {
    const property = fc.property(
        fc.array(operationArbitrary, { minLength: 20, maxLength: 80, size: "max" }),
        operations => isCorrect(createView(), hashChain, operations),
    );
    return fc.check(property, runs).counterexample;
}

const createView = (maxBytes = 1 << 18) => createCacheView({ maxBytes, sampleEvery: 1 });

function ignoreIncarnations(): CacheView {
    const view = createView();
    return {
        ...view,
        recordIncarnation: upstream => view.recordIncarnation(upstream, "same"),
        applyEvents: (upstream, page, nowMs) => view.applyEvents(upstream, { ...page, incarnation: "same" }, nowMs),
    };
}

function ignoreGaps(): CacheView {
    const view = createView();
    function applyEvents(upstream: string, page: CacheEventPage, nowMs: number): boolean {
        const first = view.nextSequence(upstream);
        const events = page.events.map((event, index) => ({ ...event, sequence: first + index }));
        view.recordIncarnation(upstream, page.incarnation);
        return view.applyEvents(upstream, { ...page, nextSequence: first + events.length, events }, nowMs);
    }
    return { ...view, applyEvents };
}

Then(/^no interleaving .* makes a correct view report a foreign block$/, () => {
    assert.ok(!findCounterexample(() => createView(), hashBlocks));
});

Then("an interleaving makes a view that ignores incarnations report a foreign block", () => {
    assert.ok(findCounterexample(ignoreIncarnations, hashBlocks));
});

Then("an interleaving makes a view that ignores gaps report a foreign block", () => {
    assert.ok(findCounterexample(ignoreGaps, hashBlocks));
});

Then("an interleaving makes a view whose chains ignore the scope report a foreign block", () => {
    assert.ok(findCounterexample(() => createView(), (_, prompt) => hashBlocks(scopes[0]!, prompt)));
});

/** Memory of the hints and upstreams that a view holds after a stream of hints, in bytes. */
function measureView(view: CacheView, seed: number): number {
    const engines = 20 + (seed % 3_000);
    let state = seed;
    for (let step = 0; step < 4_000; step += 1) {
        state = mixBits(state, step);
        const blocks = Array.from(
            { length: 16 },
            (_, index) => (BigInt(mixBits(state, index)) << 32n) | BigInt(mixBits(index, state)),
        );
        view.recordCached(`engine-${state % engines}`, blocks, step);
    }
    let hints = 0;
    const upstreams = new Set<string>();
    view.visitHints((_, upstream) => {
        hints += 1;
        upstreams.add(upstream);
    });
    return hints * hintBytes + upstreams.size * slotBytes;
}

Then("no stream of hints makes a view of {int} bytes hold more than {int} bytes", (bytes: number, bound: number) => {
    fc.assert(fc.property(fc.nat(), seed => measureView(createView(bytes), seed) <= bound), { seed: 4, numRuns: 10 });
});

Then("a stream makes a view of {int} bytes hold more than {int} bytes", (bytes: number, bound: number) => {
    assert.ok(measureView(createView(bytes), 0) > bound);
});

Then("no stream of sends makes a hint payload longer than {int} bytes", (bound: number) => {
    const sends = fc.array(fc.record({ engine: fc.nat(40), blocks: fc.array(fc.bigInt(0n, 2n ** 64n - 1n)) }));
    const property = fc.property(sends, list => {
        const exchange = createHintExchange({ maxBytes: bound, maxPeers: 2 });
        for (let round = 0; round < 20; round += 1) {
            list.forEach(({ engine, blocks }) => {
                const mixed = blocks.map(block => block ^ BigInt(mixBits(round, engine)));
                exchange.enqueue(["peer"], {
                    upstream: `engine-${engine}`,
                    incarnation: "a/1",
                    blocks: mixed,
                    atMs: 0,
                });
            });
        }
        return (exchange.collect("peer", 0) ?? "").length <= bound;
    });
    fc.assert(property, { seed: 4, numRuns: 100 });
});

Then("no view gives a digest longer than {int} bytes", (bound: number) => {
    const view = createView(1 << 20);
    measureView(view, 0);
    Array.from({ length: 20 }, (_, index) => view.recordIncarnation(`engine-${index}`, `engine-${index}/1`));
    const digest = createHintDigest(view, 4_000, bound);
    assert.ok(digest.length <= bound && digest.length > bound / 4, String(digest.length));
});

const warmView = createView();
const warmChain = hashBlocks(scopes[0]!, prompts[0]!);

Given("an instance that holds hints of an engine", () => {
    warmView.recordIncarnation("engine-1", "engine-1/1");
    warmView.recordCached("engine-1", warmChain, 1_000);
});

Then("a restarted instance that applies its digest finds the same holders", () => {
    const restarted = createView();
    applyHintDigest(restarted, createHintDigest(warmView, 2_000, 1 << 12), 2_000);
    assert.deepEqual(restarted.findHolders(warmChain, 2_000).map(one => one.cachedBlocks), [warmChain.length]);
});

Then("a restarted instance that knows a newer incarnation of the engine finds none", () => {
    const restarted = createView();
    restarted.recordIncarnation("engine-1", "engine-1/2");
    applyHintDigest(restarted, createHintDigest(warmView, 2_000, 1 << 12), 2_000);
    assert.deepEqual(restarted.findHolders(warmChain, 2_000), []);
});

Then(
    "the events of an upstream are not read for {int} s after a gap, and for {int} s after the next one",
    (first: number, second: number) => {
        const backoff = createEventBackoff();
        backoff.recordRead("engine-1", true, 0);
        assert.equal(backoff.isDue("engine-1", first * 1000 - 1), false);
        assert.equal(backoff.isDue("engine-1", first * 1000), true);
        backoff.recordRead("engine-1", true, 0);
        assert.equal(backoff.isDue("engine-1", second * 1000 - 1), false);
        assert.equal(backoff.isDue("engine-1", second * 1000), true);
        assert.equal(backoff.isDue("engine-2", 0), true);
    },
);
