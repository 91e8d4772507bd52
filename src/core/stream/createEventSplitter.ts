/**
 * @module
 * Cuts a stream of bytes after its last whole event, so that a stream can go on at another upstream without a broken event.
 */

/** The splitter. */
export interface EventSplitter {
    /** Takes bytes and returns all whole events that were not returned yet; undefined when there is none. */
    readonly push: (chunk: Uint8Array) => Uint8Array | undefined;
    /** Id of the last whole event; undefined when none had an id. */
    readonly lastId: () => string | undefined;
    /** Number of bytes of an event that is not whole. */
    readonly pendingBytes: () => number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";

/** Index behind the last blank line; 0 when there is none. */
function findEnd(bytes: Uint8Array): number {
    for (let index = bytes.length - 1; index > 0; index -= 1) {
        if (bytes[index] !== lineFeed) {
            continue;
        }
        const before = bytes[index - 1];
        const isBlank = before === lineFeed || (before === carriageReturn && bytes[index - 2] === lineFeed);
        if (isBlank) {
            return index + 1;
        }
    }
    return 0;
}

function findLastId(text: string): string | undefined {
    const lines = text.split(/\r?\n/);
    const line = lines.findLast(one => one.startsWith(idField));
    return line?.slice(idField.length).trim();
}

function join(left: Uint8Array, right: Uint8Array): Uint8Array {
    if (left.length === 0) {
        return right;
    }
    const joined = new Uint8Array(left.length + right.length);
    joined.set(left, 0);
    joined.set(right, left.length);
    return joined;
}

/**
 * Creates a splitter at the start of a stream.
 *
 * @returns The splitter.
 * @example
 * createEventSplitter().take(new TextEncoder().encode("id: 1\ndata: a\n\nid: 2\n")); // the first event's bytes
 */
export function createEventSplitter(): EventSplitter {
    const decoder = new TextDecoder();
    let pending: Uint8Array = new Uint8Array(0);
    let lastId: string | undefined;
    return {
        push: chunk => {
            const bytes = join(pending, chunk);
            const end = findEnd(bytes);
            pending = bytes.subarray(end);
            if (end === 0) {
                return undefined;
            }
            const whole = bytes.subarray(0, end);
            lastId = findLastId(decoder.decode(whole)) ?? lastId;
            return whole;
        },
        lastId: () => lastId,
        pendingBytes: () => pending.length,
    };
}
