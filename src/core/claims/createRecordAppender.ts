/**
 * @module
 * Appends claim records in batches, one append at a time, and retries a batch until the log has stored it.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import type { ClaimRecord } from "./claimRecord.js";

/** A queue of records to append to the log. */
export interface RecordAppender {
    readonly add: (record: ClaimRecord) => void;
    /** Removes a queued claim; false when it may already be in the log. */
    readonly withdraw: (claimId: string) => boolean;
    /** Appends the queued records at once; calls `onDone` when they are stored or an append has failed. */
    readonly flush: (onDone: () => void) => void;
    readonly stop: () => void;
}

/** Dependencies of the appender. */
export interface RecordAppenderDependencies {
    readonly clock: Clock;
    readonly append: (payloads: readonly string[], onDone: (isStored: boolean) => void) => void;
    readonly onAppend?: (records: number) => void;
}

/** Time for which records wait for others of the same batch, in milliseconds. */
const batchDelayMs = 2;

const retryDelayMs = 200;
const maxBatchRecords = 200;
const maxQueuedRecords = 10_000;

interface QueuedRecord {
    readonly record: ClaimRecord;
    wasSent: boolean;
}

/**
 * Creates the appender. A batch whose response was lost is appended again: a second copy of a record has no effect.
 * While the log is unreachable, the oldest records beyond a bound are dropped; their keys then stay claimed without an
 * end.
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
    let flushCallbacks: (() => void)[] = [];
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
                completeFlush();
            }
        });
    }

    function completeFlush(): void {
        const callbacks = flushCallbacks;
        flushCallbacks = [];
        callbacks.forEach(onDone => onDone());
    }

    function flush(onDone: () => void): void {
        flushCallbacks.push(onDone);
        if (isAppending) {
            return;
        }
        cancelTimer?.();
        if (queue.length === 0) {
            completeFlush();
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
