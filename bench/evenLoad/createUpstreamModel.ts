/**
 * @module
 * An upstream on the virtual clock: slots, a short queue, a speed of its own and a pace that jumps.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { StatedLoad } from "../../src/core/load/loadTypes.js";

/** A modelled upstream. */
export interface UpstreamModel {
    /** Takes a request of so much work; false when it is rejected. `onEnd` is called at its end with its wait. */
    readonly take: (workMs: number, onEnd: (waitedMs: number) => void) => boolean;
    readonly state: () => StatedLoad;
    /** Milliseconds of slots in use so far, and those that there were. */
    readonly usedMs: () => number;
}

/** Options of {@link createUpstreamModel}. */
export interface UpstreamModelOptions {
    readonly slots: number;
    /** Requests that may wait beside those that run. */
    readonly queue: number;
    /** Duration of work as a factor of the mean. */
    readonly slowness: number;
    /** Time for which a pace holds on average, in milliseconds; 0 when it never changes. */
    readonly paceHoldMs: number;
}

/** Range of the pace. */
const minPace = 0.7;
const maxPace = 1.7;

/** Creates an idle upstream. */
export function createUpstreamModel(clock: VirtualClock, options: UpstreamModelOptions): UpstreamModel {
    const waiting: { readonly workMs: number; readonly atMs: number; readonly onEnd: (waitedMs: number) => void; }[] =
        [];
    let running = 0;
    let pace = 1;
    let usedMs = 0;
    let sinceMs = 0;

    function count(): void {
        usedMs += running * (clock.now() - sinceMs);
        sinceMs = clock.now();
    }

    function start(workMs: number, waitedMs: number, onEnd: (waitedMs: number) => void): void {
        count();
        running += 1;
        clock.after(workMs * options.slowness * pace, () => {
            count();
            running -= 1;
            onEnd(waitedMs);
            const next = waiting.shift();
            if (next !== undefined) {
                start(next.workMs, clock.now() - next.atMs, next.onEnd);
            }
        });
    }

    function jump(): void {
        pace = minPace + (maxPace - minPace) * clock.random();
        clock.after(options.paceHoldMs * 2 * clock.random(), jump);
    }

    if (options.paceHoldMs > 0) {
        jump();
    }
    return {
        take: (workMs, onEnd) => {
            if (running < options.slots) {
                start(workMs, 0, onEnd);
                return true;
            }
            const isTaken = waiting.length < options.queue;
            if (isTaken) {
                waiting.push({ workMs, atMs: clock.now(), onEnd });
            }
            return isTaken;
        },
        state: () => ({ running, waiting: waiting.length, slots: options.slots, pace }),
        usedMs: () => {
            count();
            return usedMs;
        },
    };
}
