/**
 * @module
 * A clock of one process that can be paused: time goes on, but its timers and answers wait until it resumes.
 */
import type { Clock } from "../../src/core/time/clock.js";

/** The clock of one process. */
export interface PausableClock extends Clock {
    readonly pauseFor: (durationMs: number) => void;
    /** Wraps calls to the outside, so that their answers wait as well. */
    readonly hold: <A extends readonly unknown[], T>(call: (...args: A) => Promise<T>) => (...args: A) => Promise<T>;
}

/** Creates the clock. */
export function createPausableClock(clock: Clock): PausableClock {
    let resumeMs = 0;

    function after(delayMs: number, action: () => void): () => void {
        let cancel = clock.after(delayMs, run);
        function run(): void {
            const leftMs = resumeMs - clock.now();
            if (leftMs > 0) {
                cancel = clock.after(leftMs, run);
                return;
            }
            action();
        }
        return () => cancel();
    }

    function waitUntilResumed(): Promise<void> {
        return clock.now() >= resumeMs ? Promise.resolve() : new Promise(resolve => after(0, resolve));
    }

    return {
        now: clock.now,
        wallNow: clock.wallNow,
        after,
        pauseFor: durationMs => {
            resumeMs = Math.max(resumeMs, clock.now() + durationMs);
        },
        hold: call => async (...args) => {
            const answer = await call(...args);
            await waitUntilResumed();
            return answer;
        },
    };
}
