/**
 * @module
 * Steps on blocks of memory that are used again.
 */
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { type BlockBuffer, createBlockBuffer } from "../../src/core/memory/createBlockBuffer.js";
import { createBlockPool } from "../../src/core/memory/createBlockPool.js";

/** A body that is received beside others, and how that ends. */
interface PlayedBody {
    readonly fill: number;
    readonly pieces: readonly number[];
    readonly isTaken: boolean;
    readonly isStated: boolean;
}

/** Size of the blocks of the pool: a body of that size takes one alone. */
const blockBytes = 65_536;

const bodies: fc.Arbitrary<readonly PlayedBody[]> = fc.array(
    fc.record({
        fill: fc.integer({ min: 1, max: 255 }),
        pieces: fc.array(fc.oneof(fc.integer({ min: 1, max: 80_000 }), fc.constant(blockBytes)), {
            minLength: 1,
            maxLength: 6,
        }),
        isTaken: fc.boolean(),
        isStated: fc.boolean(),
    }),
    { minLength: 2, maxLength: 12 },
);

/** Appends the pieces of all bodies by turns, and ends each behind its last piece. Returns the bodies that were taken. */
function play(played: readonly PlayedBody[]): readonly (readonly [PlayedBody, Uint8Array])[] {
    const pool = createBlockPool({ maxFreeBytes: () => 400_000 });
    const taken: [PlayedBody, Uint8Array][] = [];
    const buffers = new Map<PlayedBody, BlockBuffer>(played.map(body => {
        const statedBytes = body.pieces.reduce((sum, bytes) => sum + bytes, 0);
        return [body, createBlockBuffer({ pool, expectedBytes: body.isStated ? statedBytes : 0 })];
    }));
    for (let turn = 0; buffers.size > 0; turn += 1) {
        for (const [body, buffer] of buffers) {
            const bytes = body.pieces[turn];
            if (bytes !== undefined) {
                buffer.append(Buffer.alloc(bytes, body.fill));
                continue;
            }
            buffers.delete(body);
            if (body.isTaken) {
                taken.push([body, buffer.take()]);
            }
            buffer.discard();
        }
    }
    return taken;
}

Then(
    "over {int} random crowds of bodies with seed {int} each that was taken keeps its bytes",
    (numRuns: number, seed: number) => {
        fc.assert(
            fc.property(bodies, played => {
                for (const [{ fill, pieces }, bytes] of play(played)) {
                    assert.equal(bytes.length, pieces.reduce((sum, length) => sum + length, 0));
                    assert.ok(bytes.every(byte => byte === fill));
                }
            }),
            { numRuns, seed },
        );
    },
);
