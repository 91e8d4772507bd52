/**
 * @module
 * Blocks of memory that are used again. What bodies release would else stay in use until the engine collects it, and a crowd of
 * bodies that are refused would take most of the processor's time for that.
 */

/** Free blocks. */
export interface BlockPool {
    /** Size of each block, in bytes. */
    readonly blockBytes: number;
    /** Returns a block, whose content is that of its last use. */
    readonly take: () => Uint8Array;
    /** Takes back a block that nobody reads any more; it has to have the pool's size. */
    readonly give: (block: Uint8Array) => void;
}

/** Options of {@link createBlockPool}. */
export interface BlockPoolOptions {
    /** Returns the largest size of all free blocks together, in bytes. */
    readonly maxFreeBytes: () => number;
    /** Called with the size of a block that is left to the engine. */
    readonly onDropped?: (bytes: number) => void;
}

const blockBytes = 64 * 1_024;

/**
 * Creates a pool without blocks.
 *
 * @param options - How much it keeps.
 * @returns The pool.
 * @example
 * const buffer = createBlockBuffer({ pool: createBlockPool({ maxFreeBytes: () => 8_000_000 }) });
 */
export function createBlockPool({ maxFreeBytes, onDropped = () => undefined }: BlockPoolOptions): BlockPool {
    const free: Uint8Array[] = [];
    return {
        blockBytes,
        take: () => free.pop() ?? new Uint8Array(blockBytes),
        give: block => {
            if ((free.length + 1) * blockBytes > maxFreeBytes()) {
                onDropped(blockBytes);
                return;
            }
            free.push(block);
        },
    };
}
