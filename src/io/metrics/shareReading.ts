/**
 * @module
 * Shares one reading among all who ask while it is in progress.
 */

/**
 * Wraps a function that reads.
 *
 * @param read - Reads the value.
 * @returns A function that reads it, or joins the reading in progress.
 * @example
 * const readMetrics = shareReading(() => registry.metrics());
 */
export function shareReading<T>(read: () => Promise<T>): () => Promise<T> {
    let current: Promise<T> | undefined;
    return () => {
        current ??= read().finally(() => {
            current = undefined;
        });
        return current;
    };
}
