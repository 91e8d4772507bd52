/**
 * @module
 * Appends claim records in batches, one append at a time, and repeats a batch until the log has it.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import type { ClaimRecord } from "./claimRecord.js";

/** Records on their way to the log. */
export interface RecordAppender {
    readonly add: (record: ClaimRecord) => void;
    /** Takes back a claim that was never sent to the log; false when it may stand there. */
    readonly withdraw: (claimId: string) => boolean;
    /** Sends what is queued at once; calls `onDone` when the log has it or an append has failed. */
    readonly flush: (onDone: () => void) => void;
    readonly stop: () => void;
}

/** What appending needs. */
export interface RecordAppenderDependencies {
    readonly clock: Clock;
    readonly append: (payloads: readonly string[], onDone: (isStored: boolean) => void) => void;
    readonly onAppend?: (records: number) => void;
}

/** Milliseconds that records wait for others of the same batch. */
const batchDelayMs = 2;

const retryDelayMs = 200;
const maxBatchRecords = 200;
const maxQueuedRecords = 10_000;

interface QueuedRecord {
    readonly record: ClaimRecord;
    wasSent: boolean;
}

/**
 * Creates the appender. A batch whose answer was lost is appended again: a second copy of a record has no effect.
 * When the log stays away, the oldest records are dropped at a bound; their keys then stay claimed without an end.
 *
 * @param dependencies - The log and the clock.
 * @returns The appender.
 * @example
 * createRecordAppender({ clock, append }).add(record);
 */
export function createRecordAppender(dependencies: RecordAppenderDependencies): RecordAppender {
    const { clock } = dependencies;
    let queue: QueuedRecord[] = [];
    let isAppending = false;
    let flushing: (() => void)[] = [];
    let cancelTimer: CancelTimer | undefined;

    function schedule(delayMs: number): void {
        if (cancelTimer === undefined && !isAppending && queue.length > 0) {
            cancelTimer = clock.after(delayMs, appendBatch);
        }
    }

    function appendBatch(): void {
        cancelTimer = undefined;
        if (queue.length === 0) {
            return;
        }
        const batch = queue.slice(0, maxBatchRecords);
        batch.forEach(one => {
            one.wasSent = true;
        });
        isAppending = true;
        dependencies.onAppend?.(batch.length);
        dependencies.append(batch.map(one => JSON.stringify(one.record)), isStored => {
            isAppending = false;
            if (isStored) {
                const stored = new Set(batch);
                queue = queue.filter(one => !stored.has(one));
            }
            schedule(isStored ? 0 : retryDelayMs);
            if (!isStored || queue.length === 0) {
                endFlush();
            }
        });
    }

    function endFlush(): void {
        const ended = flushing;
        flushing = [];
        ended.forEach(onDone => onDone());
    }

    function flush(onDone: () => void): void {
        flushing.push(onDone);
        if (isAppending) {
            return;
        }
        cancelTimer?.();
        if (queue.length === 0) {
            endFlush();
            return;
        }
        appendBatch();
    }

    function withdraw(claimId: string): boolean {
        const index = queue.findIndex(one => one.record.type === "claim" && one.record.claimId === claimId);
        const found = queue[index];
        if (found === undefined) {
            return false;
        }
        queue = queue.filter(one => one !== found);
        return !found.wasSent;
    }

    return {
        add: record => {
            queue.push({ record, wasSent: false });
            queue = queue.length > maxQueuedRecords ? queue.slice(1) : queue;
            schedule(batchDelayMs);
        },
        withdraw,
        flush,
        stop: () => {
            cancelTimer?.();
            queue = [];
        },
    };
}
