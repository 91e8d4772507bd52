/**
 * @module
 * Timers that turn a suspicion which nobody contradicts into a verdict.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import type { Member } from "./memberTypes.js";

/** The running suspicions. */
export interface Suspicions {
    /** Starts the timer of a suspect; one that runs already is kept. */
    readonly start: (suspect: Member) => void;
    /** Ends a suspicion. */
    readonly clear: (instance: string) => void;
    /** Gives every suspect the full time again, as after a pause of this process. */
    readonly restart: () => void;
    readonly stop: () => void;
}

/** What suspicions need. */
export interface SuspicionDependencies {
    readonly clock: Clock;
    /** Factor on the time that a suspect has, at least 1. */
    readonly timeFactor: () => number;
    readonly onExpired: (suspect: Member) => void;
}

/** Time that a suspect has to contradict, in milliseconds. */
const suspicionMs = 5_000;

interface RunningSuspicion {
    readonly suspect: Member;
    readonly cancel: CancelTimer;
}

/**
 * Creates the timers.
 *
 * @param dependencies - The clock and what an expired suspicion does.
 * @returns The suspicions.
 * @example
 * createSuspicions({ clock, timeFactor: () => 1, onExpired: suspect => take({ ...suspect, state: "dead" }) });
 */
export function createSuspicions(dependencies: SuspicionDependencies): Suspicions {
    const running = new Map<string, RunningSuspicion>();

    function clear(instance: string): void {
        running.get(instance)?.cancel();
        running.delete(instance);
    }

    function begin(suspect: Member): void {
        clear(suspect.instance);
        const cancel = dependencies.clock.after(suspicionMs * dependencies.timeFactor(), () => {
            if (running.get(suspect.instance)?.cancel === cancel) {
                running.delete(suspect.instance);
                dependencies.onExpired(suspect);
            }
        });
        running.set(suspect.instance, { suspect, cancel });
    }

    return {
        start: suspect => {
            if (running.get(suspect.instance)?.suspect.incarnation !== suspect.incarnation) {
                begin(suspect);
            }
        },
        clear,
        restart: () => [...running.values()].forEach(one => begin(one.suspect)),
        stop: () => [...running.keys()].forEach(clear),
    };
}
