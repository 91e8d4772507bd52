/**
 * @module
 * Seeded random numbers of a run.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Creates a source of numbers from 0 to 1, excluding 1. */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, 0x3fffffff) / 0x40000000;
}
