/**
 * @module
 * Advances a virtual clock while code under test awaits promises.
 */
import { setImmediate as flush } from "node:timers/promises";
import type { VirtualClock } from "../../fakes/createVirtualClock.js";

/** Advances the clock in steps; the continuations of promises that a step settles run before the next step. */
export async function advanceClock(clock: VirtualClock, untilMs: number, stepMs = 5): Promise<void> {
    await flush();
    while (clock.now() < untilMs) {
        clock.runUntil(Math.min(untilMs, clock.now() + stepMs));
        await flush();
    }
}
