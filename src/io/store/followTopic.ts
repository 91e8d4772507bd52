/**
 * @module
 * Follows a keyed topic: reads the newest record of each key first, then every record as it is appended.
 */
import type { KeyedRecord, RecordStore, StoreFailure } from "../../core/ports/recordStore.js";
import { readRetryDelayMs } from "../../core/store/computeLongPollMs.js";
import type { Clock } from "../../core/time/clock.js";
import { repeatStep } from "../_lib/repeatStep.js";

/** Timing of the reads of newer records. */
export interface PollTiming {
    /** Milliseconds for which the store delays its answer until there is a record; 0 answers at once. */
    readonly waitMs: number;
    /** Milliseconds between two reads. */
    readonly intervalMs: number;
}

/** Why the newest records were read: at the start, after a deletion of records, or after the store's return from an older
 * copy, in which newer records may be missing. */
export type ReadCause = "start" | "truncated" | "returned";

/** Options of {@link followTopic}. */
export interface FollowTopicOptions {
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly random: () => number;
    readonly topic: string;
    readonly timing: () => PollTiming;
    /** Receives the newest record of each key; they replace all that was read before. */
    readonly onNewest: (records: readonly KeyedRecord[], cause: ReadCause) => void;
    /** Receives records in order; an empty list means that there are no newer ones. */
    readonly onRecords: (records: readonly KeyedRecord[]) => void;
    /** Receives failed reads, and the milliseconds since each of them began. */
    readonly onFailure: (failure: StoreFailure, tookMs: number) => void;
    /** Receives what a receiver of records threw; the topic is then read anew, so that no record is left out. */
    readonly onError: (error: unknown) => void;
    /** Called when records were deleted before they were read; the topic is then read anew. */
    readonly onTruncated: () => void;
}

/** A topic that is followed. */
export interface FollowedTopic {
    readonly stop: () => void;
}

/** Where the next read begins; offsets of different eras are not comparable. */
interface Position {
    readonly era: number;
    readonly offset: number;
}

/**
 * Starts to follow a topic.
 *
 * @param options - The topic and the receivers of its records.
 * @returns The followed topic.
 */
export function followTopic(options: FollowTopicOptions): FollowedTopic {
    const { store, clock, topic } = options;
    let isStopped = false;
    let position: Position | undefined;
    let cause: ReadCause = "start";
    let hasFailed = false;

    function pause(delayMs: number): Promise<void> {
        return new Promise(resolve => clock.after(delayMs, resolve));
    }

    async function recordFailure(failure: StoreFailure, startedMs: number): Promise<void> {
        hasFailed = true;
        options.onFailure(failure, clock.now() - startedMs);
        await pause(readRetryDelayMs * (1 + options.random()));
    }

    async function readNewest(): Promise<void> {
        const startedMs = clock.now();
        const read = await store.readNewest(topic);
        if (read.kind === "failed") {
            await recordFailure(read, startedMs);
            return;
        }
        position = { era: read.era, offset: read.end };
        options.onNewest(read.records, cause);
    }

    function readAnew(newCause: ReadCause): void {
        position = undefined;
        cause = newCause;
    }

    async function readNext({ era, offset }: Position): Promise<void> {
        const timing = options.timing();
        const startedMs = clock.now();
        // After a failure the offset may belong to an era that is over: the store is to say so at once.
        const read = await store.readKeyed(topic, offset, hasFailed ? 0 : timing.waitMs);
        if (read.kind === "failed") {
            await recordFailure(read, startedMs);
            return;
        }
        hasFailed = false;
        if (read.era !== era) {
            readAnew("returned");
            return;
        }
        if (read.kind === "truncated") {
            options.onTruncated();
            readAnew(read.first > offset ? "truncated" : "returned");
            return;
        }
        position = { era, offset: read.next };
        options.onRecords(read.records);
        await pause(timing.intervalMs);
    }

    void repeatStep(() => position === undefined ? readNewest() : readNext(position), {
        clock,
        isStopped: () => isStopped,
        onError: error => {
            readAnew("start");
            options.onError(error);
        },
    });
    return {
        stop: () => {
            isStopped = true;
        },
    };
}
