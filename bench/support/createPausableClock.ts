/**
 * @module
 * The clock of one simulated process, which can be paused: time advances, but its timers and the responses to its
 * calls are deferred until it resumes.
 */
import type { Clock } from "../../src/core/time/clock.js";

/** The clock of one process. */
export interface PausableClock extends Clock {
    readonly pauseFor: (durationMs: number) => void;
    readonly isPaused: () => boolean;
    /** Wraps an outgoing call, so that its response is deferred while the process is paused. */
    readonly deferResponses: <A extends readonly unknown[], T>(
        call: (...args: A) => Promise<T>,
    ) => (...args: A) => Promise<T>;
}

/** Creates the clock. */
export function createPausableClock(clock: Clock): PausableClock {
    let resumeMs = 0;

    function after(delayMs: number, action: () => void): () => void {
        let cancel = clock.after(delayMs, run);
        function run(): void {
            const remainingMs = resumeMs - clock.now();
            if (remainingMs > 0) {
                cancel = clock.after(remainingMs, run);
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
        isPaused: () => clock.now() < resumeMs,
        deferResponses: call => async (...args) => {
            const answer = await call(...args);
            await waitUntilResumed();
            return answer;
        },
    };
}
