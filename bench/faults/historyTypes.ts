/**
 * @module
 * The history that a fault run records: what callers received, what upstreams ran, and which faults were injected.
 */
import type { ExecutionOutcome } from "../../src/core/errors/errorTable.js";

/**
 * How one attempt of a caller ended. `whole`: the answer is complete; `silentEnd`: a stream ended cleanly, but without
 * end marker or error event.
 */
export type AttemptEnd = "whole" | "refused" | "errorEvent" | "reset" | "connectFailed" | "silentEnd" | "timeout";

/** One attempt of a caller at one entry. */
export interface CallerAttempt {
    /** Index of the daemon. */
    readonly daemon: number;
    readonly startMs: number;
    readonly endMs: number;
    readonly end: AttemptEnd;
    /** Error kind of a refusal or error event; `outcome` is its execution outcome. */
    readonly errorKind: string | undefined;
    readonly outcome: ExecutionOutcome | undefined;
    /** Text of the answer as received. */
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
    /** Complete text of the answer. */
    readonly text: string;
}

/** A period in which a fault kept one daemon down or paused. */
export interface DaemonOutage {
    readonly daemon: number;
    readonly kind: "killed" | "paused" | "plannedStop";
    readonly fromMs: number;
    /** Time at which the process had ended, or at which it resumed from the pause. */
    readonly untilMs: number;
    /** Milliseconds from listening to ready; undefined when it never was ready. */
    readonly readyAfterMs: number | undefined;
}

/** An upstream that received a drain signal. */
export interface DrainingUpstream {
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
    /** Revision from which on the change is in force. */
    readonly revision: number;
    /** Milliseconds from acceptance, by daemon; undefined when it was not in force within the timeout. */
    readonly inForceAfterMs: readonly (number | undefined)[];
}

/** A reading of a daemon's revision. */
export interface RevisionReading {
    readonly daemon: number;
    /** Incarnation of the daemon's process, from 1. */
    readonly life: number;
    readonly atMs: number;
    readonly revision: number;
}

/** Everything that a run recorded. Times are milliseconds of one clock. */
export interface FaultHistory {
    readonly requests: readonly CallerRequest[];
    readonly runs: readonly UpstreamRun[];
    readonly outages: readonly DaemonOutage[];
    readonly leaving: readonly DrainingUpstream[];
    readonly changes: readonly ObservedChange[];
    readonly readings: readonly RevisionReading[];
}
