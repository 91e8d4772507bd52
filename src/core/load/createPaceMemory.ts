/**
 * @module
 * Learns for how long a stated pace holds. Where the pace of machines changes many times a second, an old statement says
 * nothing, and where it stays, an old one is still true.
 */

/** Memory of how paces change. */
export interface PaceMemory {
    /** Records how far two statements of one upstream, some time apart, were from the mean of their upstream. */
    readonly record: (elapsedMs: number, before: number, after: number) => void;
    /** Fraction of a deviation from the mean that is left after a time, from 0 to 1. */
    readonly findPersistence: (ageMs: number) => number;
}

/** Upper bounds of the ages that are learned apart, in milliseconds; older ones count as the last. */
const ageBoundsMs = [50, 120, 250, 500, 1_000, 2_000];

/** Weight of a new pair in the moving averages. */
const pairWeight = 0.02;

/** Persistence that is assumed before anything is known, as if by so large a squared deviation. */
const assumedPersistence = 0.5;
const assumedWeight = 0.005;

/**
 * Creates a memory without observations.
 *
 * @returns The memory.
 * @example
 * createPaceMemory().findPersistence(100); // 0.5
 */
export function createPaceMemory(): PaceMemory {
    const averages = ageBoundsMs.map(() => ({
        product: assumedPersistence * assumedWeight,
        square: assumedWeight,
    }));

    function findIndex(ageMs: number): number {
        const index = ageBoundsMs.findIndex(boundMs => ageMs <= boundMs);
        return index < 0 ? averages.length - 1 : index;
    }

    return {
        record: (elapsedMs, before, after) => {
            const average = averages[findIndex(elapsedMs)]!;
            average.product += pairWeight * (before * after - average.product);
            average.square += pairWeight * ((before * before + after * after) / 2 - average.square);
        },
        // What does not last for a short time does not last for a longer one.
        findPersistence: ageMs => {
            const left = averages.slice(0, findIndex(ageMs) + 1).map(({ product, square }) => product / square);
            return Math.min(1, Math.max(0, Math.min(...left)));
        },
    };
}
