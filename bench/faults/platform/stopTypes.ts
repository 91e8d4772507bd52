/**
 * @module
 * What is recorded while real processes of an instance are stopped. Times are milliseconds of the machine's monotonic
 * clock, which all processes read alike.
 */
import type { TroubleRecord } from "./troubleTypes.js";

/** How a request may be repeated and answered. */
export type CallKind = "idempotent" | "nonIdempotent" | "stream";

/** Statuses that promise that a request was not run. */
export const promiseStatuses: readonly number[] = [408, 421, 429, 503];

/** One attempt of a caller. */
export interface AttemptRecord {
    readonly id: string;
    readonly request: string;
    readonly kind: CallKind;
    /** Whether another upstream may go on with it. */
    readonly canResume: boolean;
    /** "ip:port" of the instance. */
    readonly address: string;
    readonly isChunked: boolean;
    /** When the last byte of the request was written; undefined when it was not. */
    readonly sentMs: number | undefined;
    /** When the caller's deadline passes. */
    readonly deadlineMs: number;
    /** When the route's timeout is reached at the earliest. */
    readonly timeoutMs: number;
    readonly endMs: number;
    /** Earliest time at which it may have ended: the caller's process was possibly held up until it saw the end. */
    readonly earliestEndMs: number;
    /** Status of the answer; 0 without one. */
    readonly status: number;
    readonly isComplete: boolean;
    /** Whether it ended as a complete answer although a part of it was missing. */
    readonly isTruncated: boolean;
    readonly error: string | undefined;
}

/** One request of a caller, with its attempts in order. */
export interface RequestRecord {
    readonly id: string;
    readonly kind: CallKind;
    /** Time that its run takes, in milliseconds. */
    readonly workMs: number;
    readonly beganMs: number;
    readonly endMs: number;
    readonly attempts: readonly AttemptRecord[];
}

/** An attempt that an upstream took, and its run. */
export interface RunRecord {
    readonly attempt: string;
    readonly upstream: string;
    /** Version of the weights on which the run began. */
    version: number;
    readonly arrivedMs: number;
    /** When its run began: with the first event of a stream. Undefined if it has not run. */
    beganMs: number | undefined;
    /** Undefined while the upstream has it. */
    endMs: number | undefined;
    /** Whether the upstream has answered completely. */
    isComplete: boolean;
    /** Whether the upstream itself has broken it off. */
    isBrokenOff: boolean;
    /** Whether its answer never ends. */
    isEndless: boolean;
}

/** One life of an instance's process. */
export interface LifeRecord {
    readonly address: string;
    readonly startedMs: number;
    readyMs: number | undefined;
    /** When it was told to stop; undefined when it was not. */
    termMs: number | undefined;
    /** When it was told to read its settings again. */
    readonly hangupsMs: number[];
    endedMs: number | undefined;
    /** How the process ended, for example "code 0" or "signal SIGHUP". */
    end: string | undefined;
    /** Most memory that it held, in kilobytes; undefined when it was not read. */
    peakMemoryKb: number | undefined;
    /** Longest time for which the limit of its processor time kept it from running, in milliseconds. */
    longestPauseMs: number;
}

/** A version of the weights that the operator named. */
export interface VersionRecord {
    readonly version: number;
    readonly namedMs: number;
}

/** Everything that was recorded. */
export interface StopHistory {
    readonly requests: readonly RequestRecord[];
    readonly runs: readonly RunRecord[];
    readonly lives: readonly LifeRecord[];
    readonly versions: readonly VersionRecord[];
    /** Connections that were refused by an instance while it reported to be ready. */
    readonly refusedWhileReady: readonly string[];
    readonly troubles: readonly TroubleRecord[];
}
