/**
 * @module
 * Steps that cut bytes into pieces and check what their readers return and hold.
 */
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { openPieceReader, type PieceReader } from "../support/pieceReaders.js";
import { readHeapBytes } from "../support/readHeapBytes.js";

/** Cuts bytes into pieces. */
type Cut = (bytes: Buffer) => readonly Buffer[];

/** Memory beyond twice the bytes that a reader may hold, in bytes. */
const spareBytes = 1_024;

/** Limit of the readers that have one as an option, in bytes. */
const maxBytes = 20_000;

const bytesPerMegabyte = 1_048_576;

/** Cuts into pieces of the given sizes, again and again; all that follows a size of Infinity is one piece. */
function cutInto(sizes: readonly number[]): Cut {
    return bytes => {
        const pieces: Buffer[] = [];
        let start = 0;
        for (let index = 0; start < bytes.length; index += 1) {
            const end = Math.min(bytes.length, start + sizes[index % sizes.length]!);
            pieces.push(bytes.subarray(start, end));
            start = end;
        }
        return pieces;
    };
}

const pieceSizes = fc.oneof(
    { weight: 6, arbitrary: fc.integer({ min: 0, max: 9 }) },
    { weight: 3, arbitrary: fc.integer({ min: 100, max: 3_000 }) },
    { weight: 1, arbitrary: fc.constant(Infinity) },
);

const cuts: fc.Arbitrary<Cut> = fc.oneof(
    fc.constant(cutInto([1])),
    fc.constant(cutInto([0, 1])),
    fc.array(pieceSizes, { maxLength: 40 }).map(sizes => cutInto([...sizes, 1_000])),
);

const words = ["\n", "\r", "\n\n", "\r\n", "id: 0\n", "id: 1\n", "data: a\n", ": b\n", "data: [DONE]\n\n", "é", "id:"];

const events = fc.array(fc.integer({ min: 0, max: 3 }), { maxLength: 60 }).map(dataLines =>
    dataLines.map((lines, id) => `id: ${id}\n${"data: text\n".repeat(lines)}\n`).join("")
);

/** Bodies: any bytes, text that looks like events, events in order, and some around the limit of the readers. */
const bodies: fc.Arbitrary<Buffer> = fc.oneof(
    fc.uint8Array({ maxLength: 5_000 }).map(bytes => Buffer.from(bytes)),
    fc.array(fc.constantFrom(...words), { maxLength: 60 }).map(parts => Buffer.from(parts.join(""))),
    events.map(text => Buffer.from(text)),
    fc.integer({ min: -2, max: 2 }).map(more => Buffer.alloc(maxBytes + more, "a")),
);

function checkHeld(reader: PieceReader, pushedBytes: number, reservedBytes: number): void {
    const held = reader.heldBytes?.() ?? 0;
    const allowed = Math.max(reservedBytes, 2 * pushedBytes + spareBytes);
    assert.ok(held <= allowed, `${held} bytes are held for ${pushedBytes}`);
}

async function read(name: string, bytes: Buffer, pieces: readonly Buffer[]): Promise<unknown> {
    const reader = openPieceReader(name, { length: bytes.length, maxBytes });
    const reservedBytes = name === "an upload of a stated length" ? bytes.length : 0;
    let pushedBytes = 0;
    for (const piece of pieces) {
        const pushed = reader.push(piece);
        if (pushed !== undefined) {
            await pushed;
        }
        pushedBytes += piece.length;
        checkHeld(reader, pushedBytes, reservedBytes);
    }
    return reader.end();
}

Then(
    "{int} bodies \\(seed {int}) for {word} {} are read alike in pieces and in one",
    (runs: number, seed: number, article: string, rest: string) => {
        const name = `${article} ${rest}`;
        return fc.assert(
            fc.asyncProperty(bodies, cuts, async (bytes, cut) => {
                assert.deepEqual(await read(name, bytes, cut(bytes)), await read(name, bytes, [bytes]));
            }),
            { numRuns: runs, seed },
        );
    },
);

Then(
    "{int} pieces of one byte for {word} {} make the heap grow by at most {int} MB",
    async (count: number, article: string, rest: string, megabytes: number) => {
        const reader = openPieceReader(`${article} ${rest}`, { length: count, maxBytes: count });
        const block = Buffer.alloc(count, "a");
        const before = await readHeapBytes();
        for (let index = 0; index < count; index += 1) {
            const pushed = reader.push(block.subarray(index, index + 1));
            if (pushed !== undefined) {
                await pushed;
            }
        }
        const grownBytes = await readHeapBytes() - before;
        assert.ok(grownBytes <= megabytes * bytesPerMegabyte, `${Math.round(grownBytes / 1_000)} kB`);
        await reader.end();
    },
);
