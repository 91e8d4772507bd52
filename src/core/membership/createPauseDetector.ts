/**
 * @module
 * Tells a pause of this process from silent peers.
 */
import type { Clock } from "../time/clock.js";

/** Whether the process has just resumed after a pause. */
export type PauseVerdict = "resumed" | "running";

/** Detects that this process did not run for a while. */
export interface PauseDetector {
    /** To be called at the start of everything that runs, so that a pause is known before late timers are judged. */
    readonly check: () => PauseVerdict;
    readonly stop: () => void;
}

const beatMs = 500;

/** Lateness of the beat that counts as a pause, in milliseconds. */
const pauseThresholdMs = 1_000;

/**
 * Starts the detector.
 *
 * @param clock - The instance's clock.
 * @param onPause - Called with the length of a pause, in milliseconds.
 * @returns The detector.
 * @example
 * createPauseDetector(clock, pausedMs => writeLog("processPaused", { pausedMs }));
 */
export function createPauseDetector(clock: Clock, onPause: (pausedMs: number) => void): PauseDetector {
    let dueMs = clock.now() + beatMs;
    let cancel = clock.after(beatMs, beat);

    function check(): PauseVerdict {
        const lateMs = clock.now() - dueMs;
        if (lateMs <= pauseThresholdMs) {
            return "running";
        }
        dueMs = clock.now() + beatMs;
        onPause(lateMs);
        return "resumed";
    }

    function beat(): void {
        check();
        dueMs = clock.now() + beatMs;
        cancel = clock.after(beatMs, beat);
    }

    return { check, stop: () => cancel() };
}
