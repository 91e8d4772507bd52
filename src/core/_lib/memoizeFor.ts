/**
 * @module
 * Keeps a result for a time.
 */

/**
 * Reads again only when the last result is older than a time.
 *
 * @param lifetimeMs - Milliseconds for which a result is kept.
 * @param now - The clock, in milliseconds.
 * @param read - Reads the result.
 * @returns The kept or new result.
 * @example
 * keepFor(1_000, clock.now, () => fleet.view())();
 */
export function memoizeFor<T>(lifetimeMs: number, now: () => number, read: () => T): () => T {
    let kept: { readonly value: T; readonly atMs: number; } | undefined;
    return () => {
        if (kept === undefined || now() - kept.atMs > lifetimeMs) {
            kept = { value: read(), atMs: now() };
        }
        return kept.value;
    };
}
