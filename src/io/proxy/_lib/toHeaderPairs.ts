/**
 * @module
 * Lists headers that are given by name as pairs.
 */
import type { HeaderPair } from "../../../core/proxy/proxyTypes.js";

/**
 * Lists headers as pairs; a header with several values becomes several pairs.
 *
 * @param headers - Values by name.
 * @returns The pairs.
 * @example
 * toHeaderPairs({ vary: ["accept", "origin"] }); // [["vary", "accept"], ["vary", "origin"]]
 */
export function toHeaderPairs(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): readonly HeaderPair[] {
    return Object.entries(headers).flatMap(([name, value]) => {
        const values = Array.isArray(value) ? value : [value ?? ""];
        return values.map((one): HeaderPair => [name, one]);
    });
}
