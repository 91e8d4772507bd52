/**
 * @module
 * Splits a byte stream after its last complete event, so that another upstream can resume it between two events.
 */
import { createBlockBuffer } from "../memory/createBlockBuffer.js";
import { createFieldSearch } from "./_lib/createFieldSearch.js";

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
    /** Memory that these bytes take, in bytes. */
    readonly heldBytes: () => number;
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

/** The last two bytes before a chunk; undefined where the stream or its next event begins. */
interface Lookbehind {
    readonly last: number | undefined;
    readonly secondLast: number | undefined;
}

const noLookbehind: Lookbehind = { last: undefined, secondLast: undefined };

/** Returns a byte of the chunk, or one before it at a negative index. */
function byteAt(before: Lookbehind, chunk: Uint8Array, index: number): number | undefined {
    if (index >= 0) {
        return chunk[index];
    }
    return index === -1 ? before.last : before.secondLast;
}

/** Finds the index in `chunk` after the last blank line that ends in it; 0 when there is none. */
function findEventsEnd(before: Lookbehind, chunk: Uint8Array): number {
    for (let index = chunk.length - 1; index >= 0; index -= 1) {
        if (!isLineEnd(chunk[index])) {
            continue;
        }
        const isCrlf = chunk[index] === lineFeed && byteAt(before, chunk, index - 1) === carriageReturn;
        if (isLineEnd(byteAt(before, chunk, isCrlf ? index - 2 : index - 1))) {
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

/**
 * Creates a splitter at the start of a stream. Each byte is searched once, whatever the length of its event.
 *
 * @returns The splitter.
 * @example
 * createEventSplitter().push(new TextEncoder().encode("id: 1\ndata: a\n\nid: 2\n")); // the first event's bytes
 */
export function createEventSplitter(): EventSplitter {
    const decoder = new TextDecoder();
    /** Bytes of the incomplete event, and the last two of them. */
    const pending = createBlockBuffer();
    let lookbehind = noLookbehind;
    const pendingFields = createFieldSearch();
    let hasEvents = false;
    let lastId: string | undefined;

    function readLines(bytes: Uint8Array): readonly string[] {
        return decoder.decode(bytes).split(lineEnd);
    }

    function hold(bytes: Uint8Array): void {
        const last = bytes.at(-1);
        if (last !== undefined) {
            lookbehind = { last, secondLast: bytes.at(-2) ?? lookbehind.last };
            pending.append(bytes);
            pendingFields.search(bytes);
        }
    }

    /** Returns the incomplete event with the bytes that complete it, and begins the next event. */
    function completeWith(bytes: Uint8Array): Uint8Array {
        if (pending.length() === 0) {
            return bytes;
        }
        pending.append(bytes);
        lookbehind = noLookbehind;
        pendingFields.reset();
        return pending.take();
    }

    function takeEvents(chunk: Uint8Array, end: number): Uint8Array {
        const complete = completeWith(end === chunk.length ? chunk : chunk.subarray(0, end));
        if (end < chunk.length) {
            hold(chunk.subarray(end));
        }
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
        pendingBytes: pending.length,
        heldBytes: pending.heldBytes,
        unfinishedBytes: () => (pendingFields.hasField() ? pending.length() : 0),
    };
}
