/**
 * @module
 * Counts the callers of this instance that read each stream, so that a stream with a reader is not cancelled.
 */

/** Reference counts by stream id. */
export interface StreamReaders {
    readonly add: (streamId: string) => void;
    readonly remove: (streamId: string) => void;
    readonly has: (streamId: string) => boolean;
}

/**
 * Creates an empty count.
 *
 * @returns The count.
 * @example
 * const readers = createStreamReaders();
 * readers.add("s-1");
 * readers.has("s-1"); // true
 */
export function createStreamReaders(): StreamReaders {
    const counts = new Map<string, number>();
    return {
        add: streamId => {
            counts.set(streamId, (counts.get(streamId) ?? 0) + 1);
        },
        remove: streamId => {
            const remaining = (counts.get(streamId) ?? 0) - 1;
            if (remaining > 0) {
                counts.set(streamId, remaining);
            }
            else {
                counts.delete(streamId);
            }
        },
        has: streamId => counts.has(streamId),
    };
}
