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
    /** Number of bytes that are held until their event is complete. */
    readonly pendingBytes: () => number;
    /** Number of bytes of an unfinished event at the end; 0 when only comments and line ends follow the last event. */
    readonly unfinishedBytes: () => number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";
const commentStart = ":";

/** Lines of an event stream end with CRLF, LF or CR. */
const lineEnd = /\r\n|\n|\r/;

/** Bytes before a chunk that decide whether its first byte ends a blank line. */
const lookbehindBytes = 2;

function isLineEnd(byte: number | undefined): boolean {
    return byte === lineFeed || byte === carriageReturn;
}

/** Finds the index in `chunk` after the last blank line that ends in it; 0 when there is none. */
function findEventsEnd(before: Uint8Array, chunk: Uint8Array): number {
    const byteAt = (index: number) => index < 0 ? before[before.length + index] : chunk[index];
    for (let index = chunk.length - 1; index >= 0; index -= 1) {
        if (!isLineEnd(chunk[index])) {
            continue;
        }
        const isCrlf = chunk[index] === lineFeed && byteAt(index - 1) === carriageReturn;
        const previous = isCrlf ? byteAt(index - 2) : byteAt(index - 1);
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

function concatenate(chunks: readonly Uint8Array[]): Uint8Array {
    const [only] = chunks;
    if (chunks.length === 1 && only !== undefined) {
        return only;
    }
    const joined = new Uint8Array(chunks.reduce((sum, chunk) => sum + chunk.length, 0));
    let length = 0;
    for (const chunk of chunks) {
        joined.set(chunk, length);
        length += chunk.length;
    }
    return joined;
}

/** Returns the last bytes of a sequence. */
function takeLast(left: Uint8Array, right: Uint8Array, count: number): Uint8Array {
    return right.length >= count ? right.subarray(-count) : concatenate([left, right]).subarray(-count);
}

/**
 * Creates a splitter at the start of a stream. Each byte is searched once, whatever the length of its event.
 *
 * @returns The splitter.
 * @example
 * createEventSplitter().push(new TextEncoder().encode("id: 1\ndata: a\n\nid: 2\n")); // the first event's bytes
 */
export function createEventSplitter(): EventSplitter {
    const decoder = new TextDecoder();
    /** Chunks of the incomplete event, and their last bytes. */
    let pending: Uint8Array[] = [];
    let pendingBytes = 0;
    let lookbehind: Uint8Array = new Uint8Array(0);
    let hasEvents = false;
    let lastId: string | undefined;

    function readLines(bytes: Uint8Array): readonly string[] {
        return decoder.decode(bytes).split(lineEnd);
    }

    function hold(bytes: Uint8Array): void {
        lookbehind = takeLast(lookbehind, bytes, lookbehindBytes);
        pending.push(bytes);
        pendingBytes += bytes.length;
    }

    function release(): readonly Uint8Array[] {
        const released = pending;
        pending = [];
        pendingBytes = 0;
        lookbehind = new Uint8Array(0);
        return released;
    }

    function takeEvents(chunk: Uint8Array, end: number): Uint8Array {
        const complete = concatenate([...release(), chunk.subarray(0, end)]);
        hold(chunk.subarray(end));
        const lines = readLines(complete);
        hasEvents ||= hasField(lines);
        lastId = findLastId(lines) ?? lastId;
        return complete;
    }

    return {
        push: chunk => {
            const end = findEventsEnd(lookbehind, chunk);
            if (end > 0) {
                return takeEvents(chunk, end);
            }
            hold(chunk);
            return undefined;
        },
        hasEvents: () => hasEvents,
        lastId: () => lastId,
        pendingBytes: () => pendingBytes,
        unfinishedBytes: () => (hasField(readLines(concatenate(pending))) ? pendingBytes : 0),
    };
}
