/**
 * @module
 * Constants of quota shards, borrowed quota and request queues.
 */

/** Number of equal shards into which each customer's limits are divided. */
export const shardsPerCustomer = 8;

/** Duration of a shard's lease without renewal, in milliseconds. */
export const shardLeaseMs = 7_200_000;

/** Milliseconds between renewals of a held shard. */
export const shardRenewalIntervalMs = 1_800_000;

/** Minimum milliseconds between renewals that replace standbys: longer than the restart of a process takes. */
export const standbyRenewalIntervalMs = 10_000;

/** Maximum milliseconds after its start for which an instance waits for its shards before it is ready. */
export const maxShardWaitMs = 2_000;

/** Milliseconds for which the list of customers that are assigned to an instance is cached. */
export const assignedCustomersLifetimeMs = 10_000;

/** Lifetime of quota that one instance has lent to another, in milliseconds. */
export const grantLifetimeMs = 3_000;

/** Remaining lifetime of borrowed quota below which the borrower renews it, in milliseconds. */
export const grantRenewalThresholdMs = 1_500;

/** Milliseconds between an instance's regular rounds of borrow requests. */
export const borrowIntervalMs = 500;

/** Maximum ratio between the rates of two instances' clocks. */
export const clockDriftFactor = 1.001;

/** Fraction of a shard's rates that may be lent, 0 to 1. */
export const lendableRateFraction = 0.95;

/** Fraction of a shard's concurrency permits that may be lent, 0 to 1. */
export const lendablePermitFraction = 0.5;

/** Maximum time to the deadline of a request that runs on a borrowed permit, in milliseconds. */
export const maxBorrowedRequestMs = 120_000;

/** Maximum time that a request waits for its customer's limits, in milliseconds. */
export const maxLimitWaitMs = 2_000;

/** Maximum number of requests of one customer that wait on an instance. */
export const maxQueueLength = 256;

/** Maximum number of tokens that wait on an instance, for each request that it may run concurrently. */
export const maxQueuedTokensPerSlot = 32_768;

/** Milliseconds over which the demand of a customer is averaged. */
export const demandWindowMs = 1_000;

/** Minimum milliseconds between two rounds of borrow requests. */
export const minBorrowSpacingMs = 200;

/** Milliseconds between the rounds in which an instance plans its shards. */
export const shardPlanIntervalMs = 500;

/** Milliseconds for which a customer counts as served after its last request. */
export const servedWindowMs = 10_000;

/** Milliseconds from a customer's first request to the claim of a shard, so that one record batches several claims. */
export const claimBatchDelayMs = 20;
