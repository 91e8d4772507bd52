/**
 * @module
 * Which holders' events this instance reads, computed anew only when the fleet changes: with hundreds of instances and
 * holders the assignment of all of them costs milliseconds.
 */
import { isFeedReader } from "./isFeedReader.js";

/** A holder whose events are read by a bounded number of instances. */
export interface AssignedHolder {
    readonly id: string;
    /** Concurrent reads that the holder serves. */
    readonly maxReaders: number;
}

/** The assignment of holders to this instance. */
export interface FeedAssignment {
    /** Replaces the names of the other live instances. */
    readonly setOthers: (others: readonly string[]) => void;
    readonly isReader: (holder: AssignedHolder) => boolean;
}

function isSameList(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every((name, index) => name === right[index]);
}

/**
 * Creates the assignment for an instance that knows no other.
 *
 * @param self - Name of this instance.
 * @returns The assignment.
 * @example
 * createFeedAssignment("entry-1").isReader({ id: "engine-1", maxReaders: 8 }); // true
 */
export function createFeedAssignment(self: string): FeedAssignment {
    const assigned = new Map<string, boolean>();
    let others: readonly string[] = [];
    return {
        setOthers: next => {
            const sorted = next.toSorted();
            if (!isSameList(sorted, others)) {
                others = sorted;
                assigned.clear();
            }
        },
        isReader: ({ id, maxReaders }) => {
            const key = `${maxReaders} ${id}`;
            const known = assigned.get(key);
            if (known !== undefined) {
                return known;
            }
            const isReader = isFeedReader(id, self, others, maxReaders);
            assigned.set(key, isReader);
            return isReader;
        },
    };
}
