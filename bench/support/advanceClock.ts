/**
 * @module
 * Advances a virtual clock under code that waits by promises.
 */
import { setImmediate as flush } from "node:timers/promises";
import type { VirtualClock } from "../../fakes/createVirtualClock.js";

/** Advances the clock by steps; all promises that a step settles run before the next one. */
export async function advanceClock(clock: VirtualClock, untilMs: number, stepMs = 5): Promise<void> {
    await flush();
    while (clock.now() < untilMs) {
        clock.runUntil(Math.min(untilMs, clock.now() + stepMs));
        await flush();
    }
}
