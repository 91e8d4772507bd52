/**
 * @module
 * Draws one of the loads that an upstream may have by now. Instances that choose at the same moment on the same statements
 * draw different loads and choose different upstreams, as often as each is likely to be the best.
 */
import type { LoadEstimate } from "./loadTypes.js";

/** Number of uniform draws whose sum stands for a draw from the normal distribution, and the variance of the sum. */
const draws = 12;
const meanSum = draws / 2;

function drawNormal(random: () => number): number {
    let sum = -meanSum;
    for (let index = 0; index < draws; index += 1) {
        sum += random();
    }
    return sum;
}

/**
 * Draws the number of requests at an upstream.
 *
 * @param load - The estimate.
 * @param random - Returns a number from 0 (included) to 1 (excluded).
 * @returns The number, not below 0 and not a whole one.
 * @example
 * drawRequests({ ...load, requests: 4, deviation: 0 }, Math.random); // 4
 */
export function drawRequests(load: Pick<LoadEstimate, "requests" | "deviation">, random: () => number): number {
    return Math.max(0, load.requests + load.deviation * drawNormal(random));
}
