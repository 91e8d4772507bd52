/**
 * @module
 * Finds hot prefixes in bounded memory: a count-min sketch whose counts decay with time.
 */
import { mixBits } from "../_lib/mixBits.js";

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
    /** Counts one request for a key. */
    readonly note: (key: number, nowMs: number) => void;
    /** Share of the recent requests that had this key, 0 to 1; never below the truth by more than the decay's step. */
    readonly shareOf: (key: number) => number;
}

const rowCount = 4;

/** Weight of a new request at which all counts are scaled back. */
const maxWeight = 1e9;

/** Recent requests below which every share counts as 0. */
const minRequests = 8;

/**
 * Creates an empty sketch. A count is never underestimated: colliding keys only add to it.
 *
 * @param options - Width and decay.
 * @returns The sketch.
 * @example
 * const heat = createHeatSketch({ width: 4096, decayMs: 5_000 });
 * heat.note(key, clock.now());
 * heat.shareOf(key);
 */
export function createHeatSketch(options: HeatSketchOptions): HeatSketch {
    const counts = new Float64Array(rowCount * options.width);
    let startMs = 0;
    let total = 0;
    let weight = 1;

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
        for (let cell = 0; cell < counts.length; cell += 1) {
            counts[cell]! /= weight;
        }
        total /= weight;
        startMs = nowMs;
        weight = 1;
    }

    function note(key: number, nowMs: number): void {
        weight = Math.exp((nowMs - startMs) / options.decayMs);
        if (!(weight < maxWeight)) {
            scaleBack(nowMs);
        }
        const raised = countOf(key) + weight;
        for (let row = 0; row < rowCount; row += 1) {
            const cell = cellOf(key, row);
            // Conservative update: only counters below the new estimate rise.
            counts[cell] = Math.max(counts[cell]!, raised);
        }
        total += weight;
    }

    function shareOf(key: number): number {
        return total < minRequests * weight ? 0 : Math.min(1, countOf(key) / total);
    }
    return { bytes: counts.byteLength, note, shareOf };
}
