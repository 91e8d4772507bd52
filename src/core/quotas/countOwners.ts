/**
 * @module
 * The number of owners of a pool.
 */
import { ownersPerPool, poolsPerKind } from "./quotaPools.js";

/**
 * Returns the number of owners that a pool has in a fleet that is large enough.
 *
 * @param pool - The pool.
 * @returns The number of owners between which its quotas are divided.
 * @example
 * countOwners(0); // 3
 */
export function countOwners(pool: number): number {
    return pool < poolsPerKind ? ownersPerPool : 1;
}
