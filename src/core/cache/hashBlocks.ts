/**
 * @module
 * Identifies prompt prefixes by chained hashes over the blocks of a prompt.
 */
import { hashText } from "../_lib/hashText.js";
import { blockCharacters } from "../constants.js";

/** Scope of a cached block. Blocks are never shared between scopes. */
export interface CacheScope {
    readonly customer: string;
    readonly model: string;
    readonly weightsVersion: string;
    readonly adapter: string | undefined;
}

/**
 * Formats a scope as the salt that is sent to the engine.
 *
 * @param scope - The scope.
 * @returns The salt; it differs whenever the scopes differ.
 * @example
 * formatCacheSalt({ customer: "a", model: "m", weightsVersion: "v1", adapter: undefined });
 */
export function formatCacheSalt(scope: CacheScope): string {
    return [scope.customer, scope.model, scope.weightsVersion, scope.adapter ?? ""].join("/");
}

/**
 * Hashes a prompt into a chain of block hashes. Each hash covers the scope and all text up to the block's end, so that
 * equal hashes mean equal prefixes. An incomplete last block has no hash.
 *
 * @param scope - Scope of the blocks.
 * @param prompt - The prompt text.
 * @returns The chain, first block first.
 * @example
 * hashBlocks(scope, prompt).length === Math.floor(prompt.length / blockCharacters); // true
 */
export function hashBlocks(scope: CacheScope, prompt: string): readonly bigint[] {
    const chain: bigint[] = [];
    let previous = hashText(formatCacheSalt(scope));
    for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
        previous = hashText(prompt.slice(start, start + blockCharacters), previous);
        chain.push(previous);
    }
    return chain;
}
