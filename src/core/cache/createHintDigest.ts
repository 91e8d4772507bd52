/**
 * @module
 * Compact digest of the most recently confirmed hints, which a restarted instance reads from a peer.
 */
import { encodeHints, hintCharacters, type SharedHint, upstreamCharacters } from "./_lib/hintCodec.js";
import type { CacheView } from "./createCacheView.js";

/** Width of one age step of the histogram by which hints are selected. */
const ageStepMs = 250;

/** Number of age steps; older hints are left out. */
const ageSteps = 480;

function findOldestStep(view: CacheView, nowMs: number, limit: number): number {
    const counts = new Uint32Array(ageSteps);
    view.visitHints((...[, , atMs]) => {
        const step = Math.floor(Math.max(0, nowMs - atMs) / ageStepMs);
        if (step < ageSteps) {
            counts[step]! += 1;
        }
    });
    let sum = 0;
    for (let step = 0; step < ageSteps; step += 1) {
        sum += counts[step]!;
        if (sum > limit) {
            return step;
        }
    }
    return ageSteps;
}

/**
 * Creates the digest of the most recently confirmed hints: engines evict the least recently used blocks. Hints of
 * upstreams whose incarnation is not known are left out.
 *
 * @param view - The cache view.
 * @param nowMs - Instance's clock, in milliseconds.
 * @param maxBytes - Largest digest, in bytes.
 * @returns The digest.
 * @example
 * applyHintDigest(restartedView, createHintDigest(view, clock.now(), 1 << 18), clock.now());
 */
export function createHintDigest(view: CacheView, nowMs: number, maxBytes: number): string {
    const limit = Math.floor(maxBytes / hintCharacters);
    const oldestStep = findOldestStep(view, nowMs, limit);
    const hints: SharedHint[] = [];
    const upstreams = new Set<string>();
    let characters = upstreamCharacters;
    view.visitHints((block, upstream, atMs) => {
        const ageMs = Math.max(0, nowMs - atMs);
        const incarnation = view.findIncarnation(upstream);
        const more = hintCharacters + (upstreams.has(upstream) ? 0 : upstreamCharacters);
        if (incarnation === undefined || ageMs >= (oldestStep + 1) * ageStepMs || characters + more > maxBytes) {
            return;
        }
        characters += more;
        upstreams.add(upstream);
        hints.push({ upstream, incarnation, block, ageMs });
    });
    return encodeHints(hints);
}
