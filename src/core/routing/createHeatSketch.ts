/**
 * @module
 * Finds hot prefixes in bounded memory: a count-min sketch whose counts decay with time.
 */
import { mixBits } from "../_lib/mixBits.js";
import { millisecondsPerSecond } from "../constants.js";

/** Options of {@link createHeatSketch}. */
export interface HeatSketchOptions {
    /** Counters of one row; there are four rows of 8 bytes each. */
    readonly width: number;
    /** Milliseconds after which a count weighs 1/e. */
    readonly decayMs: number;
}

/** The sketch. Times are milliseconds on the instance's clock. */
export interface HeatSketch {
    readonly bytes: number;
    /** Adds an amount of work to a key. */
    readonly note: (key: number, amount: number, nowMs: number) => void;
    /** Work of a key a second, averaged over the decay time. */
    readonly ratePerSecond: (key: number, nowMs: number) => number;
    /** Share of a key in all work, 0 to 1. */
    readonly shareOf: (key: number) => number;
}

const rowCount = 4;

/** Weight of a new request at which all counts are scaled back. */
const maxWeight = 1e9;

/**
 * Creates an empty sketch. A count is never underestimated: colliding keys only add to it.
 *
 * @param options - Width and decay.
 * @returns The sketch.
 * @example
 * const heat = createHeatSketch({ width: 4096, decayMs: 5_000 });
 * heat.note(key, 40, clock.now());
 * heat.ratePerSecond(key, clock.now());
 */
export function createHeatSketch(options: HeatSketchOptions): HeatSketch {
    const counts = new Float64Array(rowCount * options.width);
    let startMs = 0;
    let total = 0;

    // Counts are kept as of `startMs`; newer work weighs more in place of older counts decaying.
    function weightAt(nowMs: number): number {
        return Math.exp((nowMs - startMs) / options.decayMs);
    }

    function cellOf(key: number, row: number): number {
        return row * options.width + (mixBits(key, row + 1) % options.width);
    }

    function countOf(key: number): number {
        let least = Infinity;
        for (let row = 0; row < rowCount; row += 1) {
            least = Math.min(least, counts[cellOf(key, row)]!);
        }
        return least;
    }

    function scaleBack(nowMs: number): void {
        const weight = weightAt(nowMs);
        for (let cell = 0; cell < counts.length; cell += 1) {
            counts[cell]! /= weight;
        }
        total /= weight;
        startMs = nowMs;
    }

    function note(key: number, amount: number, nowMs: number): void {
        if (weightAt(nowMs) > maxWeight) {
            scaleBack(nowMs);
        }
        total += amount * weightAt(nowMs);
        const raised = countOf(key) + amount * weightAt(nowMs);
        for (let row = 0; row < rowCount; row += 1) {
            const cell = cellOf(key, row);
            // Conservative update: only counters below the new estimate rise.
            counts[cell] = Math.max(counts[cell]!, raised);
        }
    }

    function ratePerSecond(key: number, nowMs: number): number {
        return (countOf(key) / weightAt(nowMs) / options.decayMs) * millisecondsPerSecond;
    }
    const shareOf = (key: number) => total === 0 ? 0 : Math.min(1, countOf(key) / total);
    return { bytes: counts.byteLength, note, ratePerSecond, shareOf };
}
