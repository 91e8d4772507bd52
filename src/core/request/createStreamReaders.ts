/**
 * @module
 * Counts the callers of this instance that read one stream, so that a stream with a reader is not cancelled.
 */

/** Readers by stream id. */
export interface StreamReaders {
    readonly join: (streamId: string) => void;
    readonly leave: (streamId: string) => void;
    readonly has: (streamId: string) => boolean;
}

/**
 * Creates an empty count.
 *
 * @returns The count.
 * @example
 * const readers = createStreamReaders();
 * readers.join("s-1");
 * readers.has("s-1"); // true
 */
export function createStreamReaders(): StreamReaders {
    const counts = new Map<string, number>();
    return {
        join: streamId => {
            counts.set(streamId, (counts.get(streamId) ?? 0) + 1);
        },
        leave: streamId => {
            const left = (counts.get(streamId) ?? 0) - 1;
            if (left > 0) {
                counts.set(streamId, left);
            }
            else {
                counts.delete(streamId);
            }
        },
        has: streamId => counts.has(streamId),
    };
}
