/**
 * @module
 * Steps that join a part of a stream with random events in random chunks, and check what goes through.
 */
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createEventSequence, type EventSequence } from "../../src/core/stream/createEventSequence.js";
import { createEventSplitter } from "../../src/core/stream/createEventSplitter.js";

/** Events that follow on the one that was delivered last, in chunks of the given sizes. */
interface Continuation {
    readonly lastId: bigint;
    readonly ids: readonly bigint[];
    readonly lineEnd: string;
    readonly chunkSizes: readonly number[];
}

const idPattern = /^id: (\d+)$/gm;

const continuations: fc.Arbitrary<Continuation> = fc.record({
    // Beyond the integers that a number holds exactly, too.
    lastId: fc.oneof(fc.bigInt({ min: 0n, max: 30n }), fc.bigInt({ min: 2n ** 53n, max: 2n ** 70n })),
    steps: fc.array(fc.bigInt({ min: -1n, max: 9n }), { maxLength: 6 }),
    lineEnd: fc.constantFrom("\n", "\r\n", "\r"),
    chunkSizes: fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 8 }),
}).map(({ lastId, steps, ...form }) => {
    let id = lastId;
    const ids = steps.map(step => {
        id = id + step < 0n ? 0n : id + step;
        return id;
    });
    return { lastId, ids, ...form };
});

/** Returns the ids that go through until the check refuses events. */
function readForwarded({ ids, lineEnd, chunkSizes }: Continuation, sequence: EventSequence): readonly bigint[] {
    const text = ids.map(id => `: pause${lineEnd}id: ${id}${lineEnd}data: ${id}${lineEnd}${lineEnd}`).join("");
    const bytes = new TextEncoder().encode(text);
    const splitter = createEventSplitter();
    let forwarded = "";
    let start = 0;
    for (let index = 0; start < bytes.length; index += 1) {
        const end = start + chunkSizes[index % chunkSizes.length]!;
        const events = splitter.push(bytes.subarray(start, end));
        if (events !== undefined && !sequence.accept(events)) {
            break;
        }
        forwarded += new TextDecoder().decode(events);
        start = end;
    }
    const lines = forwarded.replaceAll(/\r\n?/g, "\n");
    return [...lines.matchAll(idPattern)].map(match => BigInt(match[1]!));
}

function checkContinuations(
    runs: number,
    seed: number,
    createSequence: (lastId: string) => EventSequence,
): void {
    const property = fc.property(continuations, continuation => {
        const { lastId, ids } = continuation;
        const forwarded = readForwarded(continuation, createSequence(String(lastId)));
        const joined = [lastId, ...forwarded];
        assert.ok(joined.every((id, index) => index === 0 || id > joined[index - 1]!), "the ids do not increase");
        assert.deepEqual(forwarded, ids.slice(0, forwarded.length));
        const isRising = [lastId, ...ids].every((id, index, all) => index === 0 || id > all[index - 1]!);
        assert.ok(!isRising || forwarded.length === ids.length, "events that go on are refused");
    });
    fc.assert(property, { numRuns: runs, seed });
}

Then(
    "{int} random continuations with seed {int} go through only while their ids increase",
    (runs: number, seed: number) => checkContinuations(runs, seed, createEventSequence),
);

Then("the same check detects a sequence that accepts the last event once more", () => {
    const createLenientSequence = (lastId: string) => createEventSequence(String(BigInt(lastId) - 1n));
    assert.throws(() => checkContinuations(1_000, 47, createLenientSequence));
});
