/**
 * @module
 * Predicts how many requests are at an upstream some time after they were counted.
 */

/** A count that is some time old. */
export interface OldCount {
    readonly counted: number;
    readonly ageMs: number;
    /** Number that is expected when nothing is known of the upstream. */
    readonly expected: number;
    /** Mean time that a request stays, in milliseconds. */
    readonly holdMs: number;
}

/** A number of requests that is not known exactly. */
export interface RequestForecast {
    readonly mean: number;
    readonly deviation: number;
}

/**
 * Predicts the number. The counted requests leave independently of each other and others arrive as they do on average, so
 * that an old count says less and less, and the uncertainty grows to that of the expected number.
 *
 * @param count - The count.
 * @returns The prediction.
 * @example
 * predictRequests({ counted: 8, ageMs: 0, expected: 3, holdMs: 200 }); // { mean: 8, deviation: 0 }
 */
export function predictRequests({ counted, ageMs, expected, holdMs }: OldCount): RequestForecast {
    const remaining = Math.exp(-Math.max(0, ageMs) / Math.max(1, holdMs));
    const variance = counted * remaining * (1 - remaining) + expected * (1 - remaining);
    return { mean: expected + (counted - expected) * remaining, deviation: Math.sqrt(variance) };
}
