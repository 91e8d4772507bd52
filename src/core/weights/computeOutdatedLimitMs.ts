/**
 * @module
 * The time after which no request is sent to engines whose weights are older than the target.
 */

import { computeBeginLimitMs } from "./computeBeginLimitMs.js";

/** Fraction of the platform's limit that is used: instances learn of targets late, and a request may wait at its engine. */
const limitFraction = 0.8;

/** The same however long requests wait at their engines: the others need time to load. */
const minLimitFraction = 0.5;

/**
 * Computes the time for which outdated weights are used.
 *
 * @param weightsLimitMs - Time after which no request may begin on weights older than the target, in milliseconds.
 * @param beginMs - Time in milliseconds that runs take to begin, for requests that can't be placed again once they are withdrawn.
 * @returns Time after which no request is sent to them, in milliseconds.
 * @example
 * computeOutdatedLimitMs(8_000); // 6_400
 * computeOutdatedLimitMs(8_000, 2_000); // 5_200
 */
export function computeOutdatedLimitMs(weightsLimitMs: number, beginMs = 0): number {
    const lastSendMs = Math.min(weightsLimitMs * limitFraction, computeBeginLimitMs(weightsLimitMs) - beginMs);
    return Math.max(weightsLimitMs * minLimitFraction, lastSendMs);
}
