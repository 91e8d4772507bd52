/**
 * @module
 * The shares that instances have pledged to this owner.
 */
import { pledgeTermMs } from "./quotaTimes.js";

/** Pledges. Times are milliseconds on the instance's clock. */
export interface PledgeBook {
    /** Takes note of a pledge; `sentAfterMs` is a time before which it cannot have been sent. */
    readonly record: (from: string, pledge: RecordedPledge, sentAfterMs: number) => void;
    readonly remove: (from: string) => void;
    /** Drops pledges whose term is over, and those of instances that are not `isCurrent`. */
    readonly removeOver: (nowMs: number, isCurrent: (from: string) => boolean) => void;
    /** Sum of the weights of a pool, in instances. */
    readonly sumWeights: (pool: number, nowMs: number) => number;
    /** Largest number of instances that a pledger knows of; 0 when none states it. */
    readonly largestSize: (nowMs: number) => number;
    readonly clear: () => void;
}

/** What an instance pledges. */
export interface RecordedPledge {
    /** Part of the instance's share, by pool. */
    readonly weights: readonly (readonly [pool: number, weight: number])[];
    readonly size: number | undefined;
}

interface Entry {
    readonly weights: ReadonlyMap<number, number>;
    readonly size: number;
    readonly untilMs: number;
}

/**
 * Creates an empty book.
 *
 * @returns The book.
 * @example
 * const book = createPledgeBook();
 * book.record("entry-1", { weights: [[3, 0.5]], size: 1 }, 0);
 * book.sumWeights(3, 100); // 0.5
 */
export function createPledgeBook(): PledgeBook {
    const entries = new Map<string, Entry>();
    const listValid = (nowMs: number) => [...entries.values()].filter(entry => entry.untilMs > nowMs);

    return {
        record: (from, { weights, size }, sentAfterMs) => {
            entries.set(from, { weights: new Map(weights), size: size ?? 0, untilMs: sentAfterMs + pledgeTermMs });
        },
        remove: from => {
            entries.delete(from);
        },
        removeOver: (nowMs, isCurrent) => {
            for (const [from, { untilMs }] of entries) {
                if (untilMs <= nowMs || !isCurrent(from)) {
                    entries.delete(from);
                }
            }
        },
        sumWeights: (pool, nowMs) => listValid(nowMs).reduce((sum, { weights }) => sum + (weights.get(pool) ?? 0), 0),
        largestSize: nowMs => listValid(nowMs).reduce((largest, { size }) => Math.max(largest, size), 0),
        clear: () => entries.clear(),
    };
}
