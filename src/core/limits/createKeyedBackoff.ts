/**
 * @module
 * Exponential backoff by key: the delay doubles with each consecutive response without a useful result.
 */
import { type Backoff, createBackoff } from "../time/createBackoff.js";

/** Backoff state by key. */
export interface KeyedBackoff {
    readonly isBackingOff: (key: string) => boolean;
    /** Records whether a response had a useful result; a useful result resets the key's backoff. */
    readonly recordResult: (key: string, isUseful: boolean) => void;
}

const firstDelayMs = 500;
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
    const backoffs = new Map<string, Backoff>();
    return {
        isBackingOff: key => backoffs.get(key)?.isWaiting() ?? false,
        recordResult: (key, isUseful) => {
            if (isUseful) {
                backoffs.delete(key);
                return;
            }
            const backoff = backoffs.get(key) ?? createBackoff({ now, firstDelayMs, maxDelayMs });
            backoffs.set(key, backoff);
            backoff.recordResult(false);
        },
    };
}
