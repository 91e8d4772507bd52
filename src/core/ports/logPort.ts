/**
 * @module
 * Port to the platform's append-only log.
 */
import type { Result } from "true-myth/result";
import type { PortFailure } from "./portFailure.js";

/** Streams of the log. */
export type LogStream = "catalogue" | "claims" | "leases" | "snapshots" | "orders" | "shares";

/** One record of a log stream. */
export interface LogRecord {
    readonly offset: number;
    readonly payload: string;
}

/** A page of records. */
export interface LogPage {
    /** Lowest offset that the log still retains. */
    readonly firstKept: number;
    /** Offset after the newest record. */
    readonly end: number;
    readonly records: readonly LogRecord[];
}

/** Where appended records were placed. */
export interface AppendAck {
    /** Offset of the first record of the batch; the other records follow it without gaps. */
    readonly firstOffset: number;
}

/** Appends a batch to a stream. A `lost` failure means that the batch may have been appended. */
export type AppendToLog = (
    stream: LogStream,
    payloads: readonly string[],
) => Promise<Result<AppendAck, PortFailure>>;

/** Reads records from an offset; waits up to `waitMs` milliseconds for the first one. */
export type ReadLog = (
    stream: LogStream,
    fromOffset: number,
    waitMs: number,
) => Promise<Result<LogPage, PortFailure>>;

/** The log. */
export interface LogPort {
    readonly append: AppendToLog;
    readonly read: ReadLog;
}
