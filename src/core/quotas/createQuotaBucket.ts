/**
 * @module
 * A token bucket whose rate and capacity may change, and to which what was taken and not used can be given back.
 */
import { millisecondsPerSecond } from "../constants.js";
import type { QuotaLimit } from "./quotaTypes.js";

/** A bucket. Times are milliseconds on the instance's clock. */
export interface QuotaBucket {
    /** Adds what has accrued at the rate, and applies the capacity. */
    readonly refill: (limit: QuotaLimit, nowMs: number) => void;
    readonly level: () => number;
    /**
     * Takes an amount; one that exceeds the capacity only from a full bucket, by the limit's debt at most. Returns a mark with which it
     * can be given back; undefined when it is not there.
     */
    readonly take: (amount: number) => number | undefined;
    /** Gives back what was not used; returns how much of it the bucket would still have if it had not been taken. */
    readonly giveBack: (amount: number, mark: number) => number;
    /** Time until the amount can be taken, in milliseconds; Infinity when it cannot. */
    readonly findWaitMs: (amount: number) => number;
}

/** Least room up to the capacity in a period. */
interface Period {
    readonly mark: number;
    readonly sinceMs: number;
    room: number;
}

/** Longest period, and the least time between two takes that begin one, in milliseconds. */
const maxPeriodMs = 100;
const minPeriodMs = 20;

/** Time for which periods are kept; what was taken before is not given back. */
const historyMs = 30_000;

/** Absorbs rounding errors of sums of many fractions. */
const tolerance = 1e-6;

/**
 * Creates an empty bucket. What an earlier owner had left is unknown, and counts as used.
 *
 * @param sinceMs - Time from which the bucket is filled.
 * @returns The bucket.
 * @example
 * const bucket = createQuotaBucket(0);
 * bucket.refill({ rate: 100, capacity: 50, debt: 0 }, 200);
 * bucket.take(20); // a mark
 */
export function createQuotaBucket(sinceMs: number): QuotaBucket {
    let level = 0;
    let limit: QuotaLimit = { rate: 0, capacity: 0, debt: 0 };
    let refilledMs = sinceMs;
    const periods: Period[] = [];
    /** Marks of an earlier bucket of the customer are lower. */
    let nextMark = Math.ceil(sinceMs);
    let dividedMs = -Infinity;

    function beginPeriod(): void {
        periods.push({ mark: nextMark, sinceMs: refilledMs, room: Math.max(0, limit.capacity - level) });
        nextMark += 1;
        if (refilledMs - periods[0]!.sinceMs > historyMs) {
            periods.shift();
        }
    }

    function recordRoom(): void {
        const last = periods.at(-1);
        const room = Math.max(0, limit.capacity - level);
        // A full bucket that stays full needs no further period.
        if (last?.room === 0 && room === 0) {
            return;
        }
        if (last === undefined || refilledMs - last.sinceMs >= maxPeriodMs) {
            beginPeriod();
            return;
        }
        last.room = Math.min(last.room, room);
    }

    /** What the bucket must hold for an amount to be taken. */
    function findNeed(amount: number): number {
        return amount <= limit.capacity + limit.debt + tolerance ? Math.min(amount, limit.capacity) : amount;
    }

    return {
        refill: (next, nowMs) => {
            const accrued = next.rate * Math.max(0, nowMs - refilledMs) / millisecondsPerSecond;
            limit = next;
            level = Math.min(next.capacity, level + accrued);
            refilledMs = Math.max(refilledMs, nowMs);
            recordRoom();
        },
        level: () => level,
        take: amount => {
            if (level + tolerance < findNeed(amount)) {
                return undefined;
            }
            level -= amount;
            // The room before does not count for what is given back; for many takes in a short time it does.
            if (refilledMs - dividedMs >= minPeriodMs) {
                dividedMs = refilledMs;
                beginPeriod();
            }
            return periods.at(-1)?.mark;
        },
        giveBack: (amount, mark) => {
            const [first] = periods;
            if (first === undefined || mark < first.mark) {
                return 0;
            }
            // What would have overflowed if the amount had stayed in the bucket is lost.
            const since = periods.filter(one => one.mark >= mark);
            const room = Math.min(limit.capacity - level, ...since.map(one => one.room));
            const given = Math.max(0, Math.min(amount, room));
            level += given;
            since.forEach(one => {
                one.room -= given;
            });
            return given;
        },
        findWaitMs: amount => {
            const need = findNeed(amount);
            const missing = Math.max(0, need - level);
            if (missing === 0) {
                return 0;
            }
            return need > limit.capacity || limit.rate === 0 ? Infinity : missing * millisecondsPerSecond / limit.rate;
        },
    };
}
