/**
 * @module
 * Counts in how many requests each part of their prompts occurs.
 */
import type { ImplicatedRequest } from "./engineEnd.js";

/**
 * Counts the requests of each shared part.
 *
 * @param requests - The requests.
 * @returns The number of requests by part, the most frequent ones first.
 * @example
 * countSharedParts([{ parts: ["style"] }, { parts: ["style"] }]); // Map { "style" => 2 }
 */
export function countSharedParts(requests: readonly Pick<ImplicatedRequest, "parts">[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { parts } of requests) {
        new Set(parts).forEach(part => counts.set(part, (counts.get(part) ?? 0) + 1));
    }
    return new Map([...counts].toSorted((left, right) => right[1] - left[1]));
}
