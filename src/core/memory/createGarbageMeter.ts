/**
 * @module
 * Decides when memory that bodies and answers no longer hold is collected. The engine collects by the size of its own heap
 * and learns late of bytes outside it, while the platform counts all of them.
 */

/** Counts released bytes. */
export interface GarbageMeter {
    /** Records that bytes are no longer held; collects when that has become too many. */
    readonly record: (bytes: number) => void;
    /** Records bytes that were read and copied; collects what is young when that has become too many. */
    readonly recordRead: (bytes: number) => void;
}

/** Released bytes after which memory is collected by default. */
const defaultCollectAfterBytes = 16 * 1024 * 1024;

/** Bytes that were read after which what is young is collected. */
const collectYoungAfterBytes = 4 * 1024 * 1024;

/**
 * Creates a meter at 0.
 *
 * @param collect - Collects what is no longer held.
 * @param collectYoung - Collects what is no longer held of what was made lately, at less expense.
 * @param collectAfterBytes - Released bytes after which memory is collected.
 * @returns The meter.
 * @example
 * createGarbageMeter(() => globalThis.gc?.()).record(body.length);
 */
export function createGarbageMeter(
    collect: () => void,
    collectYoung: () => void = collect,
    collectAfterBytes = defaultCollectAfterBytes,
): GarbageMeter {
    let releasedBytes = 0;
    let readBytes = 0;
    return {
        record: bytes => {
            releasedBytes += bytes;
            if (releasedBytes >= collectAfterBytes) {
                releasedBytes = 0;
                readBytes = 0;
                collect();
            }
        },
        recordRead: bytes => {
            readBytes += bytes;
            if (readBytes >= collectYoungAfterBytes) {
                readBytes = 0;
                collectYoung();
            }
        },
    };
}
