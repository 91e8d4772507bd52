/**
 * @module
 * 64-bit hash for rendezvous hashing and chained block hashes.
 */
import createXxhash from "xxhash-wasm";

const { h64 } = await createXxhash();

/**
 * Hashes a text with xxHash64.
 *
 * @param text - The text.
 * @param seed - Seed; a chained hash passes the previous hash.
 * @returns 64 bits as an unsigned bigint.
 * @example
 * hashText("house style", 0n) === hashText("house style", 0n); // true
 */
export function hashText(text: string, seed = 0n): bigint {
    return h64(text, seed);
}
