/**
 * @module
 * Pools of customers that have the same owners, so that pledges do not grow with the number of customers.
 */

/** Number of pools whose quotas are divided between owners, and of those whose quotas are not. */
export const poolsPerKind = 8;

/** Owners of a divided quota: when one fails, the others go on. */
export const ownersPerPool = 3;
