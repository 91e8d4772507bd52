/**
 * @module
 * Suspicion timers: a suspect that does not refute in time is declared dead.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import type { Member } from "./memberTypes.js";

/** Timers of the current suspects. */
export interface Suspicions {
    /** Starts the timer of a suspect; a timer that already runs for the same incarnation continues. */
    readonly start: (suspect: Member) => void;
    /** Cancels the timer of an instance. */
    readonly clear: (instance: string) => void;
    /** Restarts all timers with the full timeout, as after a pause of this process. */
    readonly restart: () => void;
    /** Cancels all timers; none is started any more. */
    readonly stop: () => void;
}

/** Dependencies of {@link createSuspicions}. */
export interface SuspicionDependencies {
    readonly clock: Clock;
    /** Multiplier of the suspicion timeout, at least 1. */
    readonly timeFactor: () => number;
    readonly onExpired: (suspect: Member) => void;
}

/** Time within which a suspect must refute the suspicion. */
const suspicionTimeoutMs = 5_000;

interface RunningSuspicion {
    readonly suspect: Member;
    readonly cancel: CancelTimer;
}

/**
 * Creates the timers.
 *
 * @param dependencies - The clock and the callback for an expired suspicion.
 * @returns The suspicion timers.
 * @example
 * createSuspicions({ clock, timeFactor: () => 1, onExpired: suspect => mergeUpdate({ ...suspect, state: "dead" }) });
 */
export function createSuspicions(dependencies: SuspicionDependencies): Suspicions {
    const running = new Map<string, RunningSuspicion>();
    let isStopped = false;

    function clear(instance: string): void {
        running.get(instance)?.cancel();
        running.delete(instance);
    }

    function begin(suspect: Member): void {
        clear(suspect.instance);
        const cancel = dependencies.clock.after(suspicionTimeoutMs * dependencies.timeFactor(), () => {
            if (running.get(suspect.instance)?.cancel === cancel) {
                running.delete(suspect.instance);
                dependencies.onExpired(suspect);
            }
        });
        running.set(suspect.instance, { suspect, cancel });
    }

    return {
        start: suspect => {
            if (!isStopped && running.get(suspect.instance)?.suspect.incarnation !== suspect.incarnation) {
                begin(suspect);
            }
        },
        clear,
        restart: () => [...running.values()].forEach(one => begin(one.suspect)),
        stop: () => {
            isStopped = true;
            [...running.keys()].forEach(clear);
        },
    };
}
