/**
 * @module
 * Applies the cache hints of a peer.
 */
import { decodeHints } from "./_lib/hintCodec.js";
import type { CacheView } from "./createCacheView.js";

/**
 * Stores a peer's hints. Hints of an incarnation other than the one known here are skipped: either the peer or this
 * instance has not yet learned of a restart.
 *
 * @param view - The cache view.
 * @param digest - Result of {@link createHintDigest} or of a hint exchange; a malformed one holds no hints.
 * @param nowMs - Instance's clock, in milliseconds.
 * @returns Number of hints stored.
 * @example
 * applyHintDigest(view, digest, clock.now());
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
