/**
 * @module
 * Types of the histories of quotas.
 */
import type { CustomerQuota, QuotaBounds } from "../../src/core/quotas/quotaTypes.js";

/** What is played. */
export interface QuotaPlan {
    readonly seed: number;
    readonly instances: number;
    readonly customers: readonly PlannedCustomer[];
    readonly bounds: QuotaBounds;
    readonly durationMs: number;
    /** Part of the messages that is lost. */
    readonly lossRatio: number;
    readonly faults: readonly PlannedFault[];
    /** Changes of all quotas by a factor. */
    readonly quotaChange: { readonly atMs: number; readonly factor: number; } | undefined;
}

/** A customer's quota and demand. */
export interface PlannedCustomer {
    readonly name: string;
    readonly quota: CustomerQuota;
    /** Demand as a multiple of the quota's rate. */
    readonly demand: number;
    /** What its requests count as. */
    readonly costs: readonly number[];
    /** Part of the instances that its requests reach. */
    readonly spread: number;
}

/**
 * One failure.
 *
 * - `partition`: the instances and the others lose each other.
 * - `deaf`: the instances get no messages about quotas, but are heard by the others and see them.
 * - `kill`: they end, and start again after it.
 * - `pause`: they do nothing meanwhile.
 */
export interface PlannedFault {
    readonly kind: "partition" | "deaf" | "kill" | "pause";
    readonly atMs: number;
    readonly forMs: number;
    /** Part of the instances that it concerns. */
    readonly share: number;
}

/** A request that was sent on and has run. */
export interface QuotaRun {
    readonly atMs: number;
    readonly cost: number;
}

/** What a history has shown of one customer. */
export interface CustomerOutcome {
    readonly name: string;
    readonly runs: readonly QuotaRun[];
    /** Requests that found their quota used up, and those that no owner could judge. */
    readonly spent: number;
    readonly unready: number;
    /** Time that granted requests waited, in milliseconds. */
    readonly waitsMs: readonly number[];
}
