/**
 * @module
 * Collects bytes that arrive in pieces of any size. Pieces are copied into blocks: a list of pieces would take some hundred
 * bytes of memory for each of them, however short it is, and keep the whole reads that they are views of.
 */

/** What became of a piece; "tooLong" and "noRoom" leave the buffer as it was. */
export type AppendResult = "appended" | "tooLong" | "noRoom";

/** Bytes in blocks. */
export interface BlockBuffer {
    /** Appends a copy of a piece. */
    readonly append: (piece: Uint8Array) => AppendResult;
    /** Number of bytes that were appended. */
    readonly length: () => number;
    /** Memory that the blocks take, in bytes. */
    readonly heldBytes: () => number;
    /** Returns all bytes in their order, and empties the buffer. */
    readonly take: () => Uint8Array;
}

/** Options of {@link createBlockBuffer}. */
export interface BlockBufferOptions {
    /** Number of bytes beyond which a piece is too long; unlimited when it is left out. */
    readonly maxBytes?: number;
    /** Reserves memory for a block, in bytes; returns false when there is none. Without it, there is always some. */
    readonly tryGrow?: (bytes: number) => boolean;
    /** Number of bytes that are expected: so many take one block, which {@link BlockBuffer.take} returns without a copy. */
    readonly expectedBytes?: number;
}

/** Smallest block, in bytes. */
const minBlockBytes = 512;

/** Largest block unless a piece or the expected bytes are larger, in bytes. */
const maxBlockBytes = 64 * 1024;

/** Joins blocks of which the last one is filled up to a number of bytes in all. */
function joinBlocks(blocks: readonly Uint8Array[], length: number): Uint8Array {
    const [only] = blocks;
    if (blocks.length === 1 && only !== undefined) {
        return only.subarray(0, length);
    }
    const joined = new Uint8Array(length);
    let start = 0;
    for (const block of blocks) {
        joined.set(block.subarray(0, length - start), start);
        start += block.length;
    }
    return joined;
}

/**
 * Creates an empty buffer. Its blocks double until they are 64 KB, so that it takes little more memory than its bytes.
 *
 * @param options - Limits, and the expected bytes.
 * @returns The buffer.
 * @example
 * const buffer = createBlockBuffer({ maxBytes: 8_000_000 });
 * buffer.append(chunk); // "tooLong" beyond 8 MB
 */
export function createBlockBuffer(options: BlockBufferOptions = {}): BlockBuffer {
    const { maxBytes = Infinity, tryGrow = () => true, expectedBytes = 0 } = options;
    let blocks: Uint8Array[] = [];
    let length = 0;
    let capacity = 0;

    function chooseBlockBytes(neededBytes: number): number {
        const usualBytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, capacity));
        return Math.max(neededBytes, capacity === 0 && expectedBytes > 0 ? expectedBytes : usualBytes);
    }

    /** Makes room for so many more bytes; returns whether there is. */
    function reserve(bytes: number): boolean {
        const neededBytes = length + bytes - capacity;
        if (neededBytes <= 0) {
            return true;
        }
        const blockBytes = chooseBlockBytes(neededBytes);
        if (!tryGrow(blockBytes)) {
            return false;
        }
        blocks.push(new Uint8Array(blockBytes));
        capacity += blockBytes;
        return true;
    }

    /** Copies a piece to the free room: the end of the block that is filled, and a new one where it does not fit. */
    function copy(piece: Uint8Array, freeBytes: number): void {
        const last = blocks.at(-1)!;
        const beforeLast = Math.max(0, freeBytes - last.length);
        if (beforeLast > 0) {
            const filled = blocks.at(-2)!;
            filled.set(piece.subarray(0, beforeLast), filled.length - beforeLast);
        }
        last.set(piece.subarray(beforeLast), last.length - freeBytes + beforeLast);
    }

    return {
        append: piece => {
            if (length + piece.length > maxBytes) {
                return "tooLong";
            }
            if (piece.length === 0) {
                return "appended";
            }
            if (!reserve(piece.length)) {
                return "noRoom";
            }
            copy(piece, capacity - length);
            length += piece.length;
            return "appended";
        },
        length: () => length,
        heldBytes: () => capacity,
        take: () => {
            const bytes = joinBlocks(blocks, length);
            blocks = [];
            length = 0;
            capacity = 0;
            return bytes;
        },
    };
}
