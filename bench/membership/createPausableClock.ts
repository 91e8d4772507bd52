/**
 * @module
 * The clock of one simulated process on the fleet's virtual clock. A pause defers its timers until the process resumes;
 * a crash drops them.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { Clock } from "../../src/core/time/clock.js";

/** The clock with its fault switches. */
export interface PausableClock extends Clock {
    readonly pause: () => void;
    readonly resume: () => void;
    readonly crash: () => void;
    /** Runs an action at once, after the pause, or never if the process has crashed. */
    readonly run: (action: () => void) => void;
}

/** Wall clock of the simulated processes at virtual time 0, in milliseconds since the Unix epoch. */
const wallStartMs = 1_800_000_000_000;

/** Creates the clock of one process. */
export function createPausableClock(clock: VirtualClock): PausableClock {
    let state: "running" | "paused" | "crashed" = "running";
    let deferred: (() => void)[] = [];

    function run(action: () => void): void {
        if (state === "paused") {
            deferred.push(action);
        }
        else if (state === "running") {
            action();
        }
    }

    function after(delayMs: number, action: () => void): () => void {
        let isCancelled = false;
        const cancel = clock.after(delayMs, () =>
            run(() => {
                if (!isCancelled) {
                    action();
                }
            }));
        return () => {
            isCancelled = true;
            cancel();
        };
    }

    return {
        now: clock.now,
        wallNow: () => wallStartMs + clock.now(),
        after,
        run,
        pause: () => {
            state = "paused";
        },
        resume: () => {
            state = "running";
            const late = deferred;
            deferred = [];
            late.forEach(run);
        },
        crash: () => {
            state = "crashed";
        },
    };
}
