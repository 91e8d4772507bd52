/**
 * @module
 * Chooses the upload that yields when memory for bodies runs short. Uploads that stop short would else keep all of it.
 */
import type { Progress } from "./chooseLeastProgress.js";

/** How far an upload has come, and what it holds. */
export interface HolderProgress extends Progress {
    readonly heldBytes: number;
}

/** Time by which an upload may be behind its pace, in milliseconds. */
const graceMs = 250;

/** Default pace, at which a body of some megabytes arrives within the time for it, in bytes per millisecond. */
const defaultPaceBytesPerMs = 128;

/**
 * Chooses the one that holds most for the time by which it is behind. An upload at the pace never yields, nor one that has
 * just begun.
 *
 * @param candidates - The unfinished uploads.
 * @param readProgress - Reads how far one has come.
 * @param nowMs - Time on the clock, in milliseconds.
 * @param paceBytesPerMs - Pace at which none is behind, in bytes per millisecond.
 * @returns The chosen one; undefined if none yields.
 * @example
 * chooseSlowHolder(uploads, upload => upload.progress, clock.now())?.evict();
 */
export function chooseSlowHolder<T>(
    candidates: Iterable<T>,
    readProgress: (candidate: T) => HolderProgress,
    nowMs: number,
    paceBytesPerMs = defaultPaceBytesPerMs,
): T | undefined {
    let chosen: T | undefined;
    let mostHeld = 0;
    for (const candidate of candidates) {
        const { sinceMs, bytes, heldBytes } = readProgress(candidate);
        const behindMs = nowMs - sinceMs - bytes / paceBytesPerMs;
        const held = heldBytes * behindMs;
        if (behindMs >= graceMs && held > mostHeld) {
            chosen = candidate;
            mostHeld = held;
        }
    }
    return chosen;
}
