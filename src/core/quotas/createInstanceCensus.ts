/**
 * @module
 * How many instances may run. An instance that was not heard of any more may run in another part of the network, so it counts for
 * long; one that has said that it leaves does not.
 */

/** An instance that is live. */
export interface CountedInstance {
    readonly name: string;
    readonly isLeaving: boolean;
}

/** Counts instances. Times are milliseconds on the instance's clock. */
export interface InstanceCensus {
    /** Takes note of the instances that are live; called often. */
    readonly update: (live: readonly CountedInstance[], nowMs: number) => void;
    /** Number of other instances that may run. */
    readonly countOthers: (nowMs: number) => number;
}

interface Entry {
    readonly seenMs: number;
    readonly isLeaving: boolean;
}

/** Time for which an instance counts that ended without a word, or that a partition hides. */
const silentRetentionMs = 3_600_000;

/** Time for which an instance counts that has left: views of it may be older than it is. */
const leftRetentionMs = 10_000;

/**
 * Creates a census without instances.
 *
 * @returns The census.
 * @example
 * const census = createInstanceCensus();
 * census.update([{ name: "entry-2", isLeaving: false }], 0);
 * census.countOthers(60_000); // 1
 */
export function createInstanceCensus(): InstanceCensus {
    const entries = new Map<string, Entry>();

    return {
        update: (live, nowMs) => live.forEach(({ name, isLeaving }) => entries.set(name, { seenMs: nowMs, isLeaving })),
        countOthers: nowMs => {
            for (const [name, { seenMs, isLeaving }] of entries) {
                if (nowMs - seenMs > (isLeaving ? leftRetentionMs : silentRetentionMs)) {
                    entries.delete(name);
                }
            }
            return entries.size;
        },
    };
}
