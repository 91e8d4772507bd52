/**
 * @module
 * Why attempts are repeated, and what repeating needs from the instance.
 */
import type { RetryBudget } from "./createRetryBudget.js";

/** Why an attempt was followed by another one. */
export type RetryReason =
    | "notSent"
    | "upstreamNotRun"
    | "lost"
    | "cut"
    | "silent"
    | "outOfOrder"
    | "wrongVersion";

/** Why an attempt that may be repeated was not. */
export type RetryDenial = "budget" | "attempts" | "deadline" | "noUpstream";

/** What repeating needs from the instance. */
export interface RetryDependencies {
    readonly retryBudget: RetryBudget;
    readonly countRetry: (reason: RetryReason) => void;
    readonly countDenial: (reason: RetryDenial) => void;
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    /** Silence before the head of an answer after which a connection is given up, in milliseconds. */
    readonly silenceTimeoutMs: number;
}
