/**
 * @module
 * Highest-random-weight (rendezvous) scoring.
 */
import { hashText } from "./hashText.js";

/**
 * Scores a candidate for a key; the candidate with the highest score owns the key.
 *
 * @param key - Hash of the item to assign.
 * @param candidate - Id of the candidate.
 * @returns A score that is uniform over candidates and the same on every instance.
 * @example
 * scoreRendezvous(hashText("prefix"), "engine-1") === scoreRendezvous(hashText("prefix"), "engine-1"); // true
 */
export function scoreRendezvous(key: bigint, candidate: string): bigint {
    return hashText(candidate, key);
}
