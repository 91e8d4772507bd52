/**
 * @module
 * The owners of a pool.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import { countOwners } from "./countOwners.js";

/**
 * Chooses the owners of a pool by rendezvous hashing.
 *
 * @param pool - The pool.
 * @param candidates - Names of the instances that may own it.
 * @returns The owners, the first one first.
 * @example
 * chooseQuotaOwners(3, ["entry-1"]); // ["entry-1"]
 */
export function chooseQuotaOwners(pool: number, candidates: readonly string[]): readonly string[] {
    const key = hashText(`quota ${pool}`);
    return candidates
        .map(name => ({ name, score: scoreRendezvous(key, name) }))
        .toSorted((left, right) => (left.score > right.score ? -1 : 1))
        .slice(0, countOwners(pool))
        .map(({ name }) => name);
}
