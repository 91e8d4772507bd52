/**
 * @module
 * Splits a byte stream after its last complete event, so that another upstream can resume it between two events.
 */

/** Splitter of one stream. */
export interface EventSplitter {
    /** Appends bytes and returns the events that they complete; undefined when no event is complete. */
    readonly push: (chunk: Uint8Array) => Uint8Array | undefined;
    /** Whether an event with a field was complete. */
    readonly hasEvents: () => boolean;
    /** Id of the last complete event that has one; undefined when no event had an id. */
    readonly lastId: () => string | undefined;
    /** Number of bytes of an unfinished event at the end; 0 when only comments and line ends follow the last event. */
    readonly unfinishedBytes: () => number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";
const commentStart = ":";

/** Lines of an event stream end with CRLF, LF or CR. */
const lineEnd = /\r\n|\n|\r/;

function isLineEnd(byte: number | undefined): boolean {
    return byte === lineFeed || byte === carriageReturn;
}

/** Finds the index after the last blank line; 0 when there is none. */
function findEventsEnd(bytes: Uint8Array): number {
    for (let index = bytes.length - 1; index > 0; index -= 1) {
        if (!isLineEnd(bytes[index])) {
            continue;
        }
        const isCrlf = bytes[index] === lineFeed && bytes[index - 1] === carriageReturn;
        const previous = isCrlf ? bytes[index - 2] : bytes[index - 1];
        if (isLineEnd(previous)) {
            return index + 1;
        }
    }
    return 0;
}

function hasField(lines: readonly string[]): boolean {
    return lines.some(line => line !== "" && !line.startsWith(commentStart));
}

function findLastId(lines: readonly string[]): string | undefined {
    const line = lines.findLast(one => one.startsWith(idField));
    return line?.slice(idField.length).trim();
}

function concatenate(left: Uint8Array, right: Uint8Array): Uint8Array {
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
 * createEventSplitter().push(new TextEncoder().encode("id: 1\ndata: a\n\nid: 2\n")); // the first event's bytes
 */
export function createEventSplitter(): EventSplitter {
    const decoder = new TextDecoder();
    let pending: Uint8Array = new Uint8Array(0);
    let hasEvents = false;
    let lastId: string | undefined;

    function readLines(bytes: Uint8Array): readonly string[] {
        return decoder.decode(bytes).split(lineEnd);
    }

    return {
        push: chunk => {
            const bytes = concatenate(pending, chunk);
            const end = findEventsEnd(bytes);
            pending = bytes.subarray(end);
            if (end === 0) {
                return undefined;
            }
            const complete = bytes.subarray(0, end);
            const lines = readLines(complete);
            hasEvents ||= hasField(lines);
            lastId = findLastId(lines) ?? lastId;
            return complete;
        },
        hasEvents: () => hasEvents,
        lastId: () => lastId,
        unfinishedBytes: () => (hasField(readLines(pending)) ? pending.length : 0),
    };
}
