/**
 * @module
 * Estimates the time from a send to the begin of its run, by model, from the runs that have begun.
 */

/** Estimates of the time to the begin of a run. */
export interface BeginTimes {
    /** Records that a run of a model began some milliseconds after its send. */
    readonly record: (model: string, tookMs: number) => void;
    /** Time in milliseconds within which most runs of a model begin; 0 before the first. */
    readonly estimateMs: (model: string) => number;
}

interface Estimate {
    readonly meanMs: number;
    /** Mean absolute deviation. */
    readonly deviationMs: number;
}

/** Weights of a new sample in the moving averages. */
const meanGain = 1 / 8;
const deviationGain = 1 / 4;

/** Deviations above the mean within which most runs begin. */
const deviations = 2;

/**
 * Creates estimates without samples.
 *
 * @returns The estimates.
 * @example
 * const times = createBeginTimes();
 * times.record("adapt", 300);
 * times.estimateMs("adapt"); // 600
 */
export function createBeginTimes(): BeginTimes {
    const estimates = new Map<string, Estimate>();
    return {
        record: (model, tookMs) => {
            const known = estimates.get(model);
            if (known === undefined) {
                estimates.set(model, { meanMs: tookMs, deviationMs: tookMs / deviations });
                return;
            }
            const meanMs = known.meanMs + (tookMs - known.meanMs) * meanGain;
            const deviationMs = known.deviationMs
                + (Math.abs(tookMs - known.meanMs) - known.deviationMs) * deviationGain;
            estimates.set(model, { meanMs, deviationMs });
        },
        estimateMs: model => {
            const known = estimates.get(model);
            return known === undefined ? 0 : known.meanMs + known.deviationMs * deviations;
        },
    };
}
