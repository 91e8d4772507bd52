/**
 * @module
 * Follows a topic with keys: first the newest record of each key, then every record as it is appended.
 */
import type { KeyedRecord, RecordStore } from "../../core/ports/recordStore.js";
import type { Clock } from "../../core/time/clock.js";

/** How newer records are waited for. */
export interface PollTiming {
    /** Milliseconds for which the store holds a read back until a record is there; 0 answers at once. */
    readonly waitMs: number;
    /** Milliseconds between two reads. */
    readonly intervalMs: number;
}

/** Options of {@link followTopic}. */
export interface FollowTopicOptions {
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly random: () => number;
    readonly topic: string;
    readonly timing: () => PollTiming;
    /** Receives the newest record of each key, in place of all that was read before. */
    readonly onNewest: (records: readonly KeyedRecord[]) => void;
    /** Receives records in order; an empty list says that there is nothing newer. */
    readonly onRecords: (records: readonly KeyedRecord[]) => void;
    readonly onFailure: (reason: string) => void;
    readonly onTruncated: () => void;
}

/** A topic that is followed. */
export interface FollowedTopic {
    readonly stop: () => void;
}

/** Pause after a failed read, in milliseconds; up to as much again is added at random. */
const failurePauseMs = 150;

/**
 * Starts to follow a topic.
 *
 * @param options - The topic and what receives its records.
 * @returns The followed topic.
 */
export function followTopic(options: FollowTopicOptions): FollowedTopic {
    const { store, clock, topic } = options;
    let isStopped = false;
    let next: number | undefined;

    function pause(delayMs: number): Promise<void> {
        return new Promise(resolve => clock.after(delayMs, resolve));
    }

    async function fail(reason: string): Promise<void> {
        options.onFailure(reason);
        await pause(failurePauseMs * (1 + options.random()));
    }

    async function readNewest(): Promise<void> {
        const read = await store.readNewest(topic);
        if (read.kind === "failed") {
            await fail(read.reason);
            return;
        }
        next = read.end;
        options.onNewest(read.records);
    }

    async function readOn(from: number): Promise<void> {
        const pace = options.timing();
        const read = await store.readKeyed(topic, from, pace.waitMs);
        if (read.kind === "failed") {
            await fail(read.reason);
            return;
        }
        if (read.kind === "truncated") {
            options.onTruncated();
            next = undefined;
            return;
        }
        next = read.next;
        options.onRecords(read.records);
        await pause(pace.intervalMs);
    }

    async function follow(): Promise<void> {
        while (!isStopped) {
            await (next === undefined ? readNewest() : readOn(next));
        }
    }

    void follow();
    return {
        stop: () => {
            isStopped = true;
        },
    };
}
