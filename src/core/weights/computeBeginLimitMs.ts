/**
 * @module
 * The time after which a request that was sent to an engine with older weights than the target must have begun.
 */

/** Fraction of the platform's limit; the rest is for instances that learn or act late, and for the close of a connection. */
const beginFraction = 0.9;

/**
 * Computes the time within which what was sent to outdated weights has to begin.
 *
 * @param weightsLimitMs - Time after which no request may begin on weights older than the target, in milliseconds.
 * @returns Time after which a send whose run has not begun is withdrawn, in milliseconds.
 * @example
 * computeBeginLimitMs(8_000); // 7_200
 */
export function computeBeginLimitMs(weightsLimitMs: number): number {
    return weightsLimitMs * beginFraction;
}
