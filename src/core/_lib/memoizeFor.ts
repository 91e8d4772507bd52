/**
 * @module
 * Memoization with a time to live.
 */

/**
 * Memoizes a function without arguments for a limited time.
 *
 * @param lifetimeMs - Time to live of a result, in milliseconds.
 * @param now - The clock, in milliseconds.
 * @param read - Computes the result.
 * @returns A function that returns the cached or a new result.
 * @example
 * memoizeFor(1_000, clock.now, () => fleet.view())();
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
