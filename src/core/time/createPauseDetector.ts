/**
 * @module
 * Detects pauses of the process by a jump of the clock between two checks.
 */
import type { CancelTimer, Clock } from "./clock.js";
import { repeatEvery } from "./repeatEvery.js";

/** Whether the process has just resumed after a pause. */
export type PauseStatus = "resumed" | "running";

/** Detects pauses of the process. */
export interface PauseDetector {
    /** Starts periodic checks. */
    readonly start: () => void;
    /** Checks the clock now; called before work that must not rely on state from before a pause. */
    readonly check: () => PauseStatus;
    readonly stop: () => void;
}

const checkIntervalMs = 250;

/** Default length of a jump beyond the interval that counts as a pause, in milliseconds. */
const defaultThresholdMs = 1_000;

/** Options of {@link createPauseDetector}. */
export interface PauseDetectorOptions {
    /** A jump beyond the interval that counts as a pause, in milliseconds. */
    readonly thresholdMs?: number;
    /** Receives by how much each periodic check was late, in milliseconds. */
    readonly onChecked?: (lateMs: number) => void;
}

/**
 * Creates a detector.
 *
 * @param clock - The clock; both its monotonic and its wall time are compared.
 * @param onPause - Receives the length of the jump in milliseconds.
 * @param options - Minimum length of a pause.
 * @returns The detector.
 * @example
 * const detector = createPauseDetector(clock, () => upstreams.discardAllIdleConnections());
 */
export function createPauseDetector(
    clock: Clock,
    onPause: (pausedMs: number) => void,
    options: PauseDetectorOptions = {},
): PauseDetector {
    const thresholdMs = options.thresholdMs ?? defaultThresholdMs;
    let lastMs = clock.now();
    let lastWallMs = clock.wallNow();
    let stopChecks: CancelTimer = () => undefined;

    function check(): PauseStatus {
        const jumpMs = Math.max(clock.now() - lastMs, clock.wallNow() - lastWallMs);
        lastMs = clock.now();
        lastWallMs = clock.wallNow();
        if (jumpMs <= checkIntervalMs + thresholdMs) {
            return "running";
        }
        onPause(jumpMs);
        return "resumed";
    }

    return {
        start: () => {
            let dueMs = clock.now() + checkIntervalMs;
            stopChecks = repeatEvery(clock, checkIntervalMs, () => {
                options.onChecked?.(clock.now() - dueMs);
                dueMs = clock.now() + checkIntervalMs;
                check();
            });
        },
        check,
        stop: () => stopChecks(),
    };
}
