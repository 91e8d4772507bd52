/**
 * @module
 * Assigns the instances that read the cache events of one holder, which serves a bounded number of concurrent readers.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";

/** Reads left free for instances whose membership view differs from this instance's view. */
const spareReaders = 3;

/**
 * Decides by rendezvous hashing whether this instance reads a holder's events.
 *
 * @param holder - Id of the holder.
 * @param self - Name of this instance.
 * @param others - Names of the other live instances.
 * @param maxReaders - Concurrent reads that the holder serves.
 * @returns True for as many instances as the holder serves, less the spare reads.
 * @example
 * isFeedReader("engine-1", "entry-1", ["entry-2"], 12); // true
 */
export function isFeedReader(holder: string, self: string, others: readonly string[], maxReaders: number): boolean {
    const readerCount = Math.max(1, maxReaders - spareReaders);
    if (others.length < readerCount) {
        return true;
    }
    const hash = hashText(holder);
    const own = scoreRendezvous(hash, self);
    return others.filter(other => scoreRendezvous(hash, other) > own).length < readerCount;
}
