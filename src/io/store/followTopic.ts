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
    /** Whether the topic has to be read now; while it does not, nothing is read. */
    readonly isNeeded: () => boolean;
    /** Longest delay after reads that failed in a row, in milliseconds; a random jitter of up to the same is added. */
    readonly maxRetryDelayMs: () => number;
    /** Receives the newest record of each key; they replace all that was read before. */
    readonly onNewest: (records: readonly KeyedRecord[], cause: ReadCause) => void;
    /**
     * Receives records in order; an empty list means that there are no newer ones. `isPrompt`: the read before did not fail, so
     * the records were received as they were appended.
     */
    readonly onRecords: (records: readonly KeyedRecord[], isPrompt: boolean) => void;
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

/** Interval of the check whether the topic has to be read, in milliseconds. */
const needCheckMs = 100;

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
    /** Era of the last read. */
    let lastEra: number | undefined;
    /** Reads that failed in a row. */
    let failures = 0;

    function pause(delayMs: number): Promise<void> {
        return new Promise(resolve => clock.after(delayMs, resolve));
    }

    async function recordFailure(failure: StoreFailure, startedMs: number): Promise<void> {
        const delayMs = Math.max(
            readRetryDelayMs,
            Math.min(readRetryDelayMs * 2 ** failures, options.maxRetryDelayMs()),
        );
        failures += 1;
        options.onFailure(failure, clock.now() - startedMs);
        await pause(delayMs * (1 + options.random()));
    }

    async function readNewest(): Promise<void> {
        const startedMs = clock.now();
        const read = await store.readNewest(topic);
        if (read.kind === "failed") {
            await recordFailure(read, startedMs);
            return;
        }
        const isOtherEra = lastEra !== undefined && lastEra !== read.era;
        position = { era: read.era, offset: read.end };
        lastEra = read.era;
        failures = 0;
        options.onNewest(read.records, isOtherEra ? "returned" : cause);
    }

    function readAnew(newCause: ReadCause): void {
        position = undefined;
        cause = newCause;
    }

    async function readNext({ era, offset }: Position): Promise<void> {
        const timing = options.timing();
        const startedMs = clock.now();
        const isPrompt = failures === 0;
        // After a failure the offset may belong to an era that is over: the store is to say so at once.
        const read = await store.readKeyed(topic, offset, isPrompt ? timing.waitMs : 0);
        if (read.kind === "failed") {
            await recordFailure(read, startedMs);
            return;
        }
        failures = 0;
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
        options.onRecords(read.records, isPrompt);
        await pause(timing.intervalMs);
    }

    /** After a time without reads the newest records are less than all that were appended since. */
    async function rest(): Promise<void> {
        if (position !== undefined) {
            readAnew("truncated");
        }
        await pause(needCheckMs);
    }

    function step(): Promise<void> {
        if (!options.isNeeded()) {
            return rest();
        }
        return position === undefined ? readNewest() : readNext(position);
    }

    void repeatStep(step, {
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
