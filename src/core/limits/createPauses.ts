/**
 * @module
 * Pauses after answers that brought nothing, doubled with each such answer in a row.
 */

/** Pauses by key. */
export interface Pauses {
    readonly isPaused: (key: string) => boolean;
    /** Notes whether an answer brought anything; one that did ends the pauses of its key. */
    readonly note: (key: string, isFruitful: boolean) => void;
}

interface Pause {
    readonly lengthMs: number;
    readonly untilMs: number;
}

const leastPauseMs = 500;
const mostPauseMs = 4_000;

/**
 * Creates pauses; no key is paused at first.
 *
 * @param now - The instance's clock, in milliseconds.
 * @returns The pauses.
 * @example
 * createPauses(clock.now).isPaused("town-hall/entry-2"); // false
 */
export function createPauses(now: () => number): Pauses {
    const pauses = new Map<string, Pause>();
    return {
        isPaused: key => (pauses.get(key)?.untilMs ?? 0) > now(),
        note: (key, isFruitful) => {
            if (isFruitful) {
                pauses.delete(key);
                return;
            }
            const lengthMs = Math.min(mostPauseMs, (pauses.get(key)?.lengthMs ?? leastPauseMs / 2) * 2);
            pauses.set(key, { lengthMs, untilMs: now() + lengthMs });
        },
    };
}
