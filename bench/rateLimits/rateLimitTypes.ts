/**
 * @module
 * Plans and records of histories of upstreams that state rate limits.
 */

import type { Disturbance } from "../support/createModelFleet.js";

/** Times of each history, in milliseconds. */
export const historyTimes = {
    /** Callers begin; the instances have heard of each other. */
    trafficMs: 6_000,
    /** Earliest and latest first statement of a limit. */
    firstLimitMs: 8_000,
    lastLimitMs: 9_000,
    /** Time between two changes of a limit. */
    minPhaseMs: 4_000,
    maxPhaseMs: 14_000,
    endMs: 34_000,
} as const;

/** Which upstreams state limits. */
export type LimitedShare = "one" | "third" | "all";

/** Parameters of a history. */
export interface HistoryPlan {
    readonly seed: number;
    readonly instances: number;
    readonly upstreams: number;
    readonly limitedShare: LimitedShare;
    /** Whether limits change and end during the history; else each stays as it was first stated. */
    readonly hasChanges: boolean;
    /** Whether a head states the limit of the time at which its request arrived, not of the time at which it is sent. */
    readonly hasOldHeads: boolean;
    /** Highest limit that is stated, in requests per second. */
    readonly highestLimit: number;
    /** Requests of all callers as a fraction of what the upstreams can serve without limits. */
    readonly load: number;
    readonly messageLoss: number;
    /** Fraction of the messages between instances that arrive up to a second late. */
    readonly lateMessages: number;
    readonly restarts: number;
    readonly freezes: number;
    /** How often an instance is cut from others, or from others and upstreams, or its messages are lost in part. */
    readonly cuts: number;
}

/** A limit from a time on; undefined for none. */
export interface LimitPhase {
    readonly atMs: number;
    readonly requestsPerSecond: number | undefined;
}

/** A request that reached an upstream. */
export interface Arrival {
    readonly atMs: number;
    readonly upstream: string;
    readonly instance: string;
}

/** The head of an answer that reached an instance. */
export interface DeliveredHead {
    readonly atMs: number;
    readonly writtenMs: number;
    readonly upstream: string;
    readonly instance: string;
    readonly requestsPerSecond: number | undefined;
}

/** How a request of a caller ended. */
export interface CallerRequest {
    readonly atMs: number;
    endedMs: number | undefined;
    result: "answered" | "refused" | "failed" | undefined;
    retryAfterMs: number | undefined;
}

/** What happened in a history. */
export interface RateLimitHistory {
    readonly plan: HistoryPlan;
    readonly phases: ReadonlyMap<string, readonly LimitPhase[]>;
    readonly arrivals: readonly Arrival[];
    readonly heads: readonly DeliveredHead[];
    readonly disturbances: readonly Disturbance[];
    readonly requests: readonly CallerRequest[];
    /** Messages about limits and permits that instances sent, and their bytes. */
    readonly messages: number;
    readonly messageBytes: number;
}
