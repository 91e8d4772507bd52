/**
 * @module
 * Writes numbered log events as JSON lines with a rate limit for each event, and counts dropped lines.
 */
import { millisecondsPerSecond } from "../../core/constants.js";
import { type LogEventName, logEventTable, type WriteLog } from "../../core/logEvents/logEventTable.js";
import type { Clock } from "../../core/time/clock.js";
import type { LineWriter } from "./createLineWriter.js";

/** Options of {@link createBoundedLogger}. */
export interface BoundedLoggerOptions {
    readonly instance: string;
    readonly clock: Clock;
    readonly writer: Pick<LineWriter, "write">;
    /** Sustained rate: lines of one event per second. */
    readonly linesPerSecond: number;
    /** Lines of one event that may be written at once. */
    readonly burst: number;
}

/** The logger. */
export interface BoundedLogger {
    readonly writeLog: WriteLog;
    /** Lines dropped since the start, by event. */
    readonly listDropped: () => ReadonlyMap<LogEventName, number>;
}

interface Bucket {
    tokens: number;
    filledMs: number;
    /** Lines dropped since the last written one; the field `leftOut` reports it. */
    dropped: number;
}

/**
 * Creates a logger.
 *
 * @param options - Instance, rate and writer.
 * @returns The logger.
 */
export function createBoundedLogger(options: BoundedLoggerOptions): BoundedLogger {
    const { clock, writer } = options;
    const buckets = new Map<LogEventName, Bucket>();
    const totals = new Map<LogEventName, number>();

    function bucketOf(name: LogEventName): Bucket {
        const known = buckets.get(name);
        if (known !== undefined) {
            return known;
        }
        const bucket: Bucket = { tokens: options.burst, filledMs: clock.now(), dropped: 0 };
        buckets.set(name, bucket);
        return bucket;
    }

    function refill(bucket: Bucket): void {
        const nowMs = clock.now();
        const earned = ((nowMs - bucket.filledMs) / millisecondsPerSecond) * options.linesPerSecond;
        bucket.tokens = Math.min(options.burst, bucket.tokens + earned);
        bucket.filledMs = nowMs;
    }

    function drop(name: LogEventName, bucket: Bucket, reported = 0): void {
        bucket.dropped += 1 + reported;
        totals.set(name, (totals.get(name) ?? 0) + 1);
    }

    function format(
        name: LogEventName,
        fields: Readonly<Record<string, unknown>> | undefined,
        dropped: number,
    ): string {
        const event = logEventTable[name];
        return JSON.stringify({
            time: new Date(clock.wallNow()).toISOString(),
            code: event.code,
            level: event.level,
            instance: options.instance,
            message: event.message,
            ...fields,
            ...(dropped > 0 ? { leftOut: dropped } : {}),
        });
    }

    const writeLog: WriteLog = (name, fields) => {
        const bucket = bucketOf(name);
        refill(bucket);
        if (bucket.tokens < 1) {
            drop(name, bucket);
            return;
        }
        const { dropped } = bucket;
        if (!writer.write(format(name, fields, dropped), () => drop(name, bucket, dropped))) {
            drop(name, bucket);
            return;
        }
        bucket.tokens -= 1;
        bucket.dropped = 0;
    };
    return { writeLog, listDropped: () => totals };
}
