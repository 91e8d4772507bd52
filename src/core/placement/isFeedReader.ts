/**
 * @module
 * Which instances read the events of one holder: it answers a bounded number of readers at once.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";

/** Reads that are left for instances that see another fleet than this one does. */
const spareReaders = 3;

/**
 * Decides whether this instance reads a holder's events.
 *
 * @param holder - Id of the holder.
 * @param self - Name of this instance.
 * @param others - Names of the other live instances.
 * @param maxReaders - Reads that the holder answers at once.
 * @returns True for as many instances as the holder answers, less a few.
 * @example
 * isFeedReader("engine-1", "entry-1", ["entry-2"], 12); // true
 */
export function isFeedReader(holder: string, self: string, others: readonly string[], maxReaders: number): boolean {
    const places = Math.max(1, maxReaders - spareReaders);
    if (others.length < places) {
        return true;
    }
    const hash = hashText(holder);
    const own = scoreRendezvous(hash, self);
    return others.filter(other => scoreRendezvous(hash, other) > own).length < places;
}
