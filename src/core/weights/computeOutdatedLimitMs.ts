/**
 * @module
 * The time after which no request is sent to engines whose weights are older than the target.
 */

/** Fraction of the platform's limit that is used: instances learn of targets late, and a request may wait at its engine. */
const limitFraction = 0.8;

/**
 * Computes the time for which outdated weights are used.
 *
 * @param weightsLimitMs - Time after which no request may begin on weights older than the target, in milliseconds.
 * @returns Time after which no request is sent to them, in milliseconds.
 * @example
 * computeOutdatedLimitMs(8_000); // 6_400
 */
export function computeOutdatedLimitMs(weightsLimitMs: number): number {
    return weightsLimitMs * limitFraction;
}
