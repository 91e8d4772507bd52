/**
 * @module
 * Quotas of customers, which hold over all instances together.
 */

/** What a quota counts. */
export type QuotaUnit = "requests" | "tokens";

/** Quota of one customer, in its unit. */
export interface CustomerQuota {
    readonly unit: QuotaUnit;
    readonly ratePerSecond: number;
    /** What may be used at once, in addition to the rate. */
    readonly burst: number;
    /** Tokens that a request without a token count counts as. */
    readonly plainTokens: number;
}

/** How far the fleet may pass a quota. */
export interface QuotaBounds {
    /** Length of the window in which requests are counted, in milliseconds. */
    readonly windowMs: number;
    /** Part of a quota by which it may be passed in a window. */
    readonly overshootRatio: number;
    /** What may pass a quota in a window besides, in the quota's unit. */
    readonly slack: number;
}

/** A part of a quota that one instance grants. */
export interface QuotaLimit {
    /** Per second. */
    readonly rate: number;
    /** Most that may be unused. */
    readonly capacity: number;
    /** Most by which a request that exceeds the capacity may overdraw a full bucket. */
    readonly debt: number;
}
