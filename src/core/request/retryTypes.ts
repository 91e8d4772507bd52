/**
 * @module
 * Reasons and dependencies of retries.
 */
import type { RetryBudget } from "./createRetryBudget.js";

/** Why an attempt was retried; `cut` is an aborted stream, `silent` an unresponsive one. */
export type RetryReason =
    | "notSent"
    | "upstreamNotRun"
    | "lost"
    | "cut"
    | "silent"
    | "outOfOrder"
    | "wrongVersion";

/** Why an attempt was not retried although its reason allows it. */
export type RetryDenial = "budget" | "attempts" | "deadline" | "noUpstream";

/** What retries need from the instance. */
export interface RetryDependencies {
    readonly retryBudget: RetryBudget;
    readonly countRetry: (reason: RetryReason) => void;
    readonly countDenial: (reason: RetryDenial) => void;
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    /** Time without a response head after which a connection is abandoned, in milliseconds. */
    readonly silenceTimeoutMs: number;
}
