/**
 * @module
 * Collects bytes that arrive in pieces of any size. Pieces are copied into blocks: a list of pieces would take some hundred
 * bytes of memory for each of them, however short it is, and keep the whole reads that they are views of.
 */

import { type BlockPool, createBlockPool } from "./createBlockPool.js";

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
    /** Empties the buffer, whose bytes nobody needs. */
    readonly discard: () => void;
}

/** Options of {@link createBlockBuffer}. */
export interface BlockBufferOptions {
    /** Number of bytes beyond which a piece is too long; unlimited when it is left out. */
    readonly maxBytes?: number;
    /** Reserves memory for a block, in bytes; returns false when there is none. Without it, there is always some. */
    readonly tryGrow?: (bytes: number) => boolean;
    /**
     * Number of bytes that are expected: up to the size of the largest block they take one, which {@link BlockBuffer.take}
     * returns without a copy; more take largest blocks alone.
     */
    readonly expectedBytes?: number;
    /** Provides the largest blocks, and takes them back. */
    readonly pool?: BlockPool;
}

/** Smallest block, in bytes. */
const minBlockBytes = 512;

/** Leaves all blocks to the engine. */
const noPool = createBlockPool({ maxFreeBytes: () => 0 });

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
    const { maxBytes = Infinity, tryGrow = () => true, expectedBytes = 0, pool = noPool } = options;
    const maxBlockBytes = pool.blockBytes;
    let blocks: Uint8Array[] = [];
    let length = 0;
    let capacity = 0;

    function chooseBlockBytes(neededBytes: number): number {
        const growthBytes = capacity === 0 && expectedBytes > 0 ? expectedBytes : Math.max(minBlockBytes, capacity);
        return Math.max(neededBytes, Math.min(maxBlockBytes, growthBytes));
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
        blocks.push(blockBytes === pool.blockBytes ? pool.take() : new Uint8Array(blockBytes));
        capacity += blockBytes;
        return true;
    }

    function empty(): void {
        blocks = [];
        length = 0;
        capacity = 0;
    }

    /** Returns the blocks that nobody reads any more. */
    function giveBlocks(): void {
        blocks.filter(block => block.length === pool.blockBytes).forEach(pool.give);
        empty();
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
            if (blocks.length === 1) {
                // The returned bytes are a part of the block.
                empty();
            }
            else {
                giveBlocks();
            }
            return bytes;
        },
        discard: giveBlocks,
    };
}
