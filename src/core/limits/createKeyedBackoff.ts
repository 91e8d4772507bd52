/**
 * @module
 * Exponential backoff by key: the delay doubles with each consecutive response without a useful result.
 */

/** Backoff state by key. */
export interface KeyedBackoff {
    readonly isBackingOff: (key: string) => boolean;
    /** Records whether a response had a useful result; a useful result resets the key's backoff. */
    readonly recordResult: (key: string, isUseful: boolean) => void;
}

interface BackoffState {
    readonly delayMs: number;
    readonly untilMs: number;
}

const minDelayMs = 500;
const maxDelayMs = 4_000;

/**
 * Creates the backoff; no key is backing off at first.
 *
 * @param now - The instance's clock, in milliseconds.
 * @returns The backoff.
 * @example
 * createKeyedBackoff(clock.now).isBackingOff("town-hall/entry-2"); // false
 */
export function createKeyedBackoff(now: () => number): KeyedBackoff {
    const states = new Map<string, BackoffState>();
    return {
        isBackingOff: key => (states.get(key)?.untilMs ?? 0) > now(),
        recordResult: (key, isUseful) => {
            if (isUseful) {
                states.delete(key);
                return;
            }
            const delayMs = Math.min(maxDelayMs, (states.get(key)?.delayMs ?? minDelayMs / 2) * 2);
            states.set(key, { delayMs, untilMs: now() + delayMs });
        },
    };
}
