/**
 * @module
 * The history that a fault run records: what callers saw, what upstreams ran, and what was brought about.
 */
import type { ExecutionOutcome } from "../../src/core/errors/errorTable.js";

/** How one attempt of a caller ended. `silentEnd`: a stream ended cleanly without end marker or error event. */
export type AttemptEnd = "whole" | "refused" | "errorEvent" | "reset" | "connectFailed" | "silentEnd" | "timeout";

/** One attempt of a caller at one entry. */
export interface CallerAttempt {
    /** Index of the daemon. */
    readonly daemon: number;
    readonly startMs: number;
    readonly endMs: number;
    readonly end: AttemptEnd;
    /** Error kind and outcome of a refusal or error event. */
    readonly errorKind: string | undefined;
    readonly outcome: ExecutionOutcome | undefined;
    /** Answer's text as received. */
    readonly text: string;
    /** Stream ids that the answer's events carried. */
    readonly streamIds: readonly string[];
    /** Whether the entry list that named the daemon was still valid. */
    readonly isListValid: boolean;
}

/** One request of a caller with all of its attempts, which carry the same idempotency key. */
export interface CallerRequest {
    /** Unique text that the request's body holds. */
    readonly nonce: string;
    readonly kind: "model" | "booking" | "read";
    readonly customer: string;
    readonly key: string;
    readonly attempts: readonly CallerAttempt[];
}

/** One request that reached an upstream. */
export interface UpstreamRun {
    readonly upstream: string;
    readonly atMs: number;
    /** Whether the upstream acted on it. */
    readonly wasRun: boolean;
    readonly body: string;
    readonly streamId: string;
    readonly cacheSalt: string;
    readonly weightsVersion: string;
    /** Whole text of the answer. */
    readonly text: string;
}

/** A span of time in which one daemon was brought down. */
export interface DaemonOutage {
    readonly daemon: number;
    readonly kind: "killed" | "paused" | "plannedStop";
    readonly fromMs: number;
    /** Time at which its next life listened, or at which it resumed. */
    readonly untilMs: number;
    /** Milliseconds from listening to ready; undefined when it never was ready. */
    readonly readyAfterMs: number | undefined;
}

/** An upstream that was told to leave. */
export interface LeavingUpstream {
    readonly upstream: string;
    readonly signal: "engine" | "catalogue" | "instanceList";
    readonly fromMs: number;
    readonly untilMs: number;
}

/** An operator's change and when each daemon had it in force. */
export interface ObservedChange {
    readonly changeId: string;
    readonly outcome: string;
    readonly acceptedMs: number;
    /** Revision that shows the change is in force. */
    readonly revision: number;
    /** Milliseconds after acceptance, by daemon; undefined when it was not seen within the observation. */
    readonly inForceAfterMs: readonly (number | undefined)[];
}

/** A reading of a daemon's revision. */
export interface RevisionReading {
    readonly daemon: number;
    /** Counts the daemon's lives. */
    readonly life: number;
    readonly atMs: number;
    readonly revision: number;
}

/** Everything that a run recorded. Times are milliseconds of one clock. */
export interface FaultHistory {
    readonly requests: readonly CallerRequest[];
    readonly runs: readonly UpstreamRun[];
    readonly outages: readonly DaemonOutage[];
    readonly leaving: readonly LeavingUpstream[];
    readonly changes: readonly ObservedChange[];
    readonly readings: readonly RevisionReading[];
}
