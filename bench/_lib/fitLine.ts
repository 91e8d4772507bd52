/**
 * @module
 * Least-squares fit of a straight line.
 */

/** One measured point. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A fitted line and the range of sizes that it was fitted to. */
export interface Line {
    /** Value at size 0. */
    readonly base: number;
    /** Increase of the value per unit of size. */
    readonly slope: number;
    /** Coefficient of determination (R squared), 0 to 1. */
    readonly fit: number;
    /** Smallest and largest size of the points. */
    readonly from: number;
    readonly to: number;
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Fits a line through points.
 *
 * @param points - At least two points of different sizes.
 * @returns The line.
 */
export function fitLine(points: readonly Point[]): Line {
    const sizes = points.map(point => point.size);
    const meanSize = mean(sizes);
    const meanValue = mean(points.map(point => point.value));
    const covariance = mean(points.map(point => (point.size - meanSize) * (point.value - meanValue)));
    const variance = mean(points.map(point => (point.size - meanSize) ** 2));
    const slope = covariance / variance;
    const base = meanValue - slope * meanSize;
    const totalVariance = mean(points.map(point => (point.value - meanValue) ** 2));
    const residualVariance = mean(points.map(point => (point.value - base - slope * point.size) ** 2));
    const fit = totalVariance === 0 ? 1 : 1 - residualVariance / totalVariance;
    return { base, slope, fit, from: Math.min(...sizes), to: Math.max(...sizes) };
}
