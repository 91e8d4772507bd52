/**
 * @module
 * Steps that check what the cache view vouches for, and its bounds.
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
const house = "h".repeat(3 * blockCharacters);
const prompts = ["x", "y", "z"].map(letter => house + letter.repeat(2 * blockCharacters));
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

interface EngineTruth {
    readonly id: string;
    life: number;
    sequence: number;
    /** Events that were not lost, each with the text that its block stands for. */
    events: readonly (CacheEvent & { readonly text: string; })[];
    hasLost: boolean;
    /** Life whose event position the view knows; 0 for none. */
    positionOfLife: number;
    /** Life that the view was last told of. */
    toldLife: number;
    /** What the view was told since it last had to forget, as text and not as hashes. */
    readonly told: Set<string>;
}

function learnLife(engine: EngineTruth): void {
    if (engine.toldLife !== engine.life) {
        engine.told.clear();
        engine.toldLife = engine.life;
    }
}

function readEvents(view: CacheView, engine: EngineTruth): void {
    learnLife(engine);
    if (engine.hasLost && engine.positionOfLife === engine.life) {
        engine.told.clear();
    }
    engine.events.forEach(event => engine.told.add(event.text));
    const page = { incarnation: `${engine.id}/${engine.life}`, nextSequence: engine.sequence, events: engine.events };
    view.applyEvents(engine.id, page, 0);
    engine.events = [];
    engine.hasLost = false;
    engine.positionOfLife = engine.life;
}

/** Runs operations against engines whose truth is known; false when the view vouched for what it must not. */
function isSound(view: CacheView, hashChain: HashChain, operations: readonly Operation[]): boolean {
    const engines = engineIds.map((id): EngineTruth => ({
        id,
        life: 1,
        sequence: 0,
        events: [],
        hasLost: false,
        positionOfLife: 0,
        toldLife: 0,
        told: new Set(),
    }));
    return operations.every(({ kind, engine: index, scope, prompt, isLost }) => {
        const engine = engines[index]!;
        const text = prompts[prompt]!;
        const chain = hashChain(scopes[scope]!, text);
        const textOf = (blocks: number) =>
            `${formatCacheSalt(scopes[scope]!)}|${text.slice(0, blocks * blockCharacters)}`;
        if (kind === "query") {
            return view.findHolders(chain, 0).every(holder =>
                engines.find(one => one.id === holder.upstream)!.told.has(textOf(holder.cachedBlocks))
            );
        }
        if (kind === "events") {
            readEvents(view, engine);
        }
        else if (kind === "crash") {
            Object.assign(engine, { life: engine.life + 1, sequence: 0, events: [], hasLost: false });
        }
        else {
            learnLife(engine);
            view.recordIncarnation(engine.id, `${engine.id}/${engine.life}`);
            view.recordCached(engine.id, chain, 0);
            chain.forEach((_, block) => engine.told.add(textOf(block + 1)));
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
        operations => isSound(createView(), hashChain, operations),
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

Then(/^no interleaving .* makes a sound view vouch for a foreign block$/, () => {
    assert.ok(!findCounterexample(() => createView(), hashBlocks));
});

Then("an interleaving makes a view that ignores incarnations vouch for a foreign block", () => {
    assert.ok(findCounterexample(ignoreIncarnations, hashBlocks));
});

Then("an interleaving makes a view that ignores gaps vouch for a foreign block", () => {
    assert.ok(findCounterexample(ignoreGaps, hashBlocks));
});

Then("an interleaving makes a view whose chains ignore the scope vouch for a foreign block", () => {
    assert.ok(findCounterexample(() => createView(), (_, prompt) => hashBlocks(scopes[0]!, prompt)));
});

/** Hints and upstreams that a view holds after a stream, in bytes. */
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

Then("a restarted instance that adopts its digest finds the same holders", () => {
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
