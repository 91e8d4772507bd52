/**
 * @module
 * Finds out whether an event that arrives in pieces has a field, or only comments and line ends so far.
 */

/** The search in one event. */
export interface FieldSearch {
    /** Searches the bytes after those before. */
    readonly search: (bytes: Uint8Array) => void;
    readonly hasField: () => boolean;
    /** Begins with the next event. */
    readonly reset: () => void;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const byteOrderMark: readonly number[] = [0xef, 0xbb, 0xbf];

/**
 * Creates a search at the beginning of an event. It looks at each byte once, and at none after the first of a field.
 *
 * @returns The search.
 * @example
 * const search = createFieldSearch();
 * search.search(new TextEncoder().encode(": comment\nd"));
 * search.hasField(); // true
 */
export function createFieldSearch(): FieldSearch {
    let hasField = false;
    let isLineStart = true;
    /** Bytes of a byte order mark with which the event begins; undefined after it. */
    let markBytes: number | undefined = 0;

    function skipMark(byte: number): boolean {
        if (markBytes === undefined || byte !== byteOrderMark[markBytes]) {
            // A part of a mark is the beginning of a field.
            hasField ||= markBytes !== undefined && markBytes > 0;
            markBytes = undefined;
            return false;
        }
        markBytes = markBytes + 1 === byteOrderMark.length ? undefined : markBytes + 1;
        return true;
    }

    function searchByte(byte: number): void {
        if (skipMark(byte)) {
            return;
        }
        if (byte === lineFeed || byte === carriageReturn) {
            isLineStart = true;
        }
        else if (isLineStart) {
            isLineStart = false;
            hasField ||= byte !== colon;
        }
    }

    return {
        search: bytes => {
            for (let index = 0; index < bytes.length && !hasField; index += 1) {
                searchByte(bytes[index]!);
            }
        },
        hasField: () => hasField,
        reset: () => {
            hasField = false;
            isLineStart = true;
            markBytes = 0;
        },
    };
}
