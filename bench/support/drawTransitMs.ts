/**
 * @module
 * Times on the way from process to process.
 */

const minTransitMs = 0.5;
const maxTransitMs = 3;

/** Time of the way from an instance or an upstream to another one, in milliseconds. */
export function drawTransitMs(random: () => number): number {
    return minTransitMs + random() * (maxTransitMs - minTransitMs);
}
