/**
 * @module
 * Count-min sketch with exponentially decaying counts: estimates the work of each prompt prefix in bounded memory.
 */
import { mixBits } from "../_lib/mixBits.js";
import { millisecondsPerSecond } from "../constants.js";

/** Options of {@link createFrequencySketch}. */
export interface FrequencySketchOptions {
    /** Counters of one row; there are four rows of 8 bytes each. */
    readonly width: number;
    /** Milliseconds after which a count has decayed to 1/e. */
    readonly decayMs: number;
}

/** The sketch. Times are milliseconds on the instance's clock. */
export interface FrequencySketch {
    readonly bytes: number;
    /** Adds an amount of work to a key. */
    readonly add: (key: number, amount: number, nowMs: number) => void;
    /** Estimates the work of a key per second, averaged over the decay time. */
    readonly ratePerSecond: (key: number, nowMs: number) => number;
    /** Estimates the share of a key in all work, 0 to 1. */
    readonly computeShare: (key: number) => number;
}

const rowCount = 4;

/** Weight of new work above which all counts are rescaled. */
const maxWeight = 1e9;

/**
 * Creates an empty sketch. A count is never underestimated: colliding keys only add to it.
 *
 * @param options - Width and decay.
 * @returns The sketch.
 * @example
 * const frequencies = createFrequencySketch({ width: 4096, decayMs: 5_000 });
 * frequencies.add(key, 40, clock.now());
 * frequencies.ratePerSecond(key, clock.now());
 */
export function createFrequencySketch(options: FrequencySketchOptions): FrequencySketch {
    const counts = new Float64Array(rowCount * options.width);
    let startMs = 0;
    let total = 0;

    // Counts are relative to `startMs`: newer work is added with a larger weight instead of decaying old counts.
    function computeWeight(nowMs: number): number {
        return Math.exp((nowMs - startMs) / options.decayMs);
    }

    function findCell(key: number, row: number): number {
        return row * options.width + (mixBits(key, row + 1) % options.width);
    }

    function estimateCount(key: number): number {
        let min = Infinity;
        for (let row = 0; row < rowCount; row += 1) {
            min = Math.min(min, counts[findCell(key, row)]!);
        }
        return min;
    }

    function rescale(nowMs: number): void {
        const weight = computeWeight(nowMs);
        for (let cell = 0; cell < counts.length; cell += 1) {
            counts[cell]! /= weight;
        }
        total /= weight;
        startMs = nowMs;
    }

    function add(key: number, amount: number, nowMs: number): void {
        if (computeWeight(nowMs) > maxWeight) {
            rescale(nowMs);
        }
        total += amount * computeWeight(nowMs);
        const raised = estimateCount(key) + amount * computeWeight(nowMs);
        for (let row = 0; row < rowCount; row += 1) {
            const cell = findCell(key, row);
            // Conservative update: only counters below the new estimate are raised.
            counts[cell] = Math.max(counts[cell]!, raised);
        }
    }

    function ratePerSecond(key: number, nowMs: number): number {
        return (estimateCount(key) / computeWeight(nowMs) / options.decayMs) * millisecondsPerSecond;
    }
    const computeShare = (key: number) => total === 0 ? 0 : Math.min(1, estimateCount(key) / total);
    return { bytes: counts.byteLength, add, ratePerSecond, computeShare };
}
