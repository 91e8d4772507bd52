/**
 * @module
 * How long the last answer of a cache store counts: as long as the heartbeats take that tell all instances of it.
 */
import { planHeartbeats } from "../fleet/planHeartbeats.js";

/** Shortest time: a long poll of a store's events, the pause after it, and a delay. */
const minReachMs = 2_000;

/** Intervals of heartbeats in which news from a few instances reaches nearly all. */
const reachIntervals = 3.5;

/**
 * Computes the time.
 *
 * @param instances - Number of instances.
 * @returns Milliseconds.
 * @example
 * computeStoreReachMs(16); // 2_000
 */
export function computeStoreReachMs(instances: number): number {
    return Math.max(minReachMs, planHeartbeats(Math.max(0, instances - 1)).intervalMs * reachIntervals);
}
