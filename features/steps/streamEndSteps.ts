/**
 * @module
 * Steps that cut random event streams at random bytes and check whether they count as complete.
 */
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { findIncompleteReason } from "../../src/core/proxy/findIncompleteReason.js";
import { createEventSplitter, type EventSplitter } from "../../src/core/stream/createEventSplitter.js";

/** A stream of which the first `cutAt` bytes arrive, in chunks of the given sizes. */
interface CutStream {
    readonly events: readonly string[];
    readonly cutAt: number;
    readonly chunkSizes: readonly number[];
}

const lineEnds = ["\n", "\r\n", "\r"] as const;

const eventFields = fc.record({
    hasId: fc.boolean(),
    data: fc.array(fc.string({ unit: fc.constantFrom("a", "0", ":", " ", "é") }), { minLength: 1, maxLength: 3 }),
    hasComment: fc.boolean(),
});

const cutStreams: fc.Arbitrary<CutStream> = fc.record({
    lineEnd: fc.constantFrom(...lineEnds),
    fields: fc.array(eventFields, { maxLength: 6 }),
    cut: fc.double({ min: 0, max: 1, noNaN: true }),
    chunkSizes: fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 8 }),
}).map(({ lineEnd, fields, cut, chunkSizes }) => {
    const events = fields.map(({ hasId, data, hasComment }, index) => {
        const lines = [
            ...(hasComment ? [": comment"] : []),
            ...(hasId ? [`id: ${index}`] : []),
            ...data.map(text => `data: ${text}`),
        ];
        return lines.map(line => line + lineEnd).join("") + lineEnd;
    });
    const length = Buffer.byteLength(events.join(""));
    return { events, cutAt: Math.floor(cut * length), chunkSizes };
});

/** Returns whether the cut lies between two events: after at least one, and before the first field of the next. */
function isCutBetweenEvents({ events, cutAt }: CutStream): boolean {
    let start = 0;
    let complete = 0;
    for (const event of events) {
        const bytes = Buffer.from(event);
        const arrived = bytes.subarray(0, Math.max(0, cutAt - start));
        // With CRLF, the blank line is complete without its last line feed.
        const isDispatched = arrived.length === bytes.length
            || (event.endsWith("\r\n") && arrived.length === bytes.length - 1);
        if (!isDispatched && arrived.toString().split(/[\r\n]/).some(line => line !== "" && !line.startsWith(":"))) {
            return false;
        }
        complete += isDispatched ? 1 : 0;
        start += bytes.length;
    }
    return complete > 0;
}

function pushArrived(splitter: EventSplitter, { events, cutAt, chunkSizes }: CutStream): void {
    const bytes = Buffer.from(events.join("")).subarray(0, cutAt);
    let start = 0;
    for (let index = 0; start < bytes.length; index += 1) {
        const end = start + chunkSizes[index % chunkSizes.length]!;
        splitter.push(bytes.subarray(start, end));
        start = end;
    }
}

function countsAsComplete(stream: CutStream, splitter: EventSplitter): boolean {
    pushArrived(splitter, stream);
    const eventStream = {
        hasEvents: splitter.hasEvents(),
        lastEventId: splitter.lastId(),
        unfinishedBytes: splitter.unfinishedBytes(),
    };
    return findIncompleteReason({ framing: "connectionClose", connection: "closed", eventStream }) === undefined;
}

function checkStreams(runs: number, seed: number, createSplitter: () => EventSplitter): void {
    fc.assert(
        fc.property(
            cutStreams,
            stream => assert.equal(countsAsComplete(stream, createSplitter()), isCutBetweenEvents(stream)),
        ),
        { numRuns: runs, seed },
    );
}

Then(
    "{int} random streams with seed {int} that are closed count as complete only between two events",
    (runs: number, seed: number) => checkStreams(runs, seed, createEventSplitter),
);

Then("the same check detects a splitter that ignores unfinished events", () => {
    const createIgnorantSplitter = () => ({ ...createEventSplitter(), unfinishedBytes: () => 0 });
    assert.throws(() => checkStreams(2_000, 29, createIgnorantSplitter));
});
