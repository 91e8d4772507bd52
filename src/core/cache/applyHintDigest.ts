/**
 * @module
 * Takes over hints that a peer vouches for.
 */
import { decodeHints } from "./_lib/hintCodec.js";
import type { CacheView } from "./createCacheView.js";

/**
 * Stores a peer's hints. Hints that belong to another incarnation than the one known here are left out: the peer, or
 * this instance, has not heard of a restart yet.
 *
 * @param view - The cache view.
 * @param digest - What {@link createHintDigest} or a hint exchange gave; a malformed one holds no hints.
 * @param nowMs - Instance's clock, in milliseconds.
 * @returns Number of hints stored.
 * @example
 * adoptHintDigest(view, digest, clock.now());
 */
export function applyHintDigest(view: CacheView, digest: string, nowMs: number): number {
    let applied = 0;
    for (const hint of decodeHints(digest)) {
        const known = view.findIncarnation(hint.upstream);
        if (known === undefined) {
            view.recordIncarnation(hint.upstream, hint.incarnation);
        }
        if (known === undefined || known === hint.incarnation) {
            view.applyHint(hint.upstream, hint.block, Math.max(0, nowMs - hint.ageMs));
            applied += 1;
        }
    }
    return applied;
}
