/**
 * @module
 * Scanner for server-sent event streams that checks the order and the end of the events without parsing their payload.
 */

/** State of the stream: open, ended by the end marker, or failed on an event out of order. */
export type ScanState = "open" | "ended" | "outOfOrder";

/** Scanner for one answer, which may arrive over several connections. */
export interface EventScanner {
    /**
     * Scans a chunk and returns the byte offset after its last complete event in order. The bytes from there on must be
     * passed again with the next chunk.
     */
    readonly scan: (bytes: Uint8Array) => number;
    /** Byte offset of the first undelivered event in the last scan; the events before it were delivered earlier. */
    readonly undeliveredStart: () => number;
    /** Starts the next connection, which continues after the delivered events. */
    readonly reopen: () => void;
    readonly state: () => ScanState;
    /** Number of complete events accepted, which is the offset to resume from. */
    readonly delivered: () => number;
}

const lineFeed = 0x0a;
const colon = 0x3a;
const digitZero = 0x30;
const digitNine = 0x39;
const idPrefix = new TextEncoder().encode("id: ");
const endMarker = new TextEncoder().encode("data: [DONE]");

function startsWith(bytes: Uint8Array, start: number, prefix: Uint8Array): boolean {
    for (let index = 0; index < prefix.length; index += 1) {
        if (bytes[start + index] !== prefix[index]) {
            return false;
        }
    }
    return true;
}

function readNumber(bytes: Uint8Array, start: number): number {
    let value = 0;
    for (let index = start;; index += 1) {
        const byte = bytes[index];
        if (byte === undefined || byte < digitZero || byte > digitNine) {
            return value;
        }
        value = value * 10 + (byte - digitZero);
    }
}

function findEventEnd(bytes: Uint8Array, start: number): number {
    let index = bytes.indexOf(lineFeed, start);
    while (index !== -1 && index + 1 < bytes.length) {
        if (bytes[index + 1] === lineFeed) {
            return index + 2;
        }
        index = bytes.indexOf(lineFeed, index + 1);
    }
    return -1;
}

/** Skips comment lines, which engines send as heartbeats. */
function skipComments(bytes: Uint8Array, start: number, end: number): number {
    let index = start;
    while (index < end && bytes[index] === colon) {
        index = bytes.indexOf(lineFeed, index) + 1;
    }
    return index;
}

/**
 * Creates a scanner. Every event begins with "id: N", where N counts up from 0; the last event is "data: [DONE]".
 * Comment lines may precede any event. At the start of a connection, events that were already delivered are skipped.
 *
 * @returns The scanner.
 * @example
 * const scanner = createEventScanner();
 * const end = scanner.scan(chunk);
 * res.write(chunk.subarray(scanner.undeliveredStart(), end));
 */
export function createEventScanner(): EventScanner {
    let next = 0;
    let state: ScanState = "open";
    let undeliveredStart = 0;
    let mayReplay = false;

    /** Checks one event; returns false when it is out of order. */
    function acceptEvent(bytes: Uint8Array, start: number, end: number): boolean {
        const idStart = skipComments(bytes, start, end);
        if (bytes[idStart] === lineFeed) {
            return true;
        }
        const id = startsWith(bytes, idStart, idPrefix) ? readNumber(bytes, idStart + idPrefix.length) : -1;
        if (mayReplay && id >= 0 && id < next) {
            undeliveredStart = end;
            return true;
        }
        mayReplay = false;
        if (id !== next) {
            state = "outOfOrder";
            return false;
        }
        next += 1;
        const dataStart = bytes.indexOf(lineFeed, idStart) + 1;
        if (startsWith(bytes, dataStart, endMarker)) {
            state = "ended";
        }
        return true;
    }

    function scan(bytes: Uint8Array): number {
        let start = 0;
        undeliveredStart = 0;
        while (state === "open") {
            const end = findEventEnd(bytes, start);
            if (end === -1 || !acceptEvent(bytes, start, end)) {
                break;
            }
            start = end;
        }
        return start;
    }

    return {
        scan,
        undeliveredStart: () => undeliveredStart,
        reopen: () => {
            mayReplay = next > 0;
            state = state === "outOfOrder" ? "open" : state;
        },
        state: () => state,
        delivered: () => next,
    };
}
