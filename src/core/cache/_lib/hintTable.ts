/**
 * @module
 * Set-associative table of hints in one buffer of fixed size.
 */

/** Entries of one bucket; they limit how many holders of a block can be stored. */
const bucketWays = 16;

/** 32-bit words of one entry: block hash low, block hash high, slot and generation, time. */
const entryWords = 4;

/** Bytes of one entry. */
export const entryBytes = entryWords * 4;

/** Bits of an owner word that hold the upstream's slot. */
const slotBits = 12;

/** Maximum number of upstreams in the table; slot 0 marks a free entry. */
export const maxSlots = (1 << slotBits) - 1;

/** Number of generations of a slot before the counter wraps around. */
export const maxGenerations = 1 << (32 - slotBits);

/** Resolution of an entry's time. */
const timeUnitMs = 16;

/** The table. Slots are numbered from 1. */
export interface HintTable {
    readonly bytes: number;
    /** Stores or renews a hint; it replaces an invalid entry of the bucket, otherwise the oldest one. */
    readonly put: (block: bigint, slot: number, nowMs: number) => void;
    readonly remove: (block: bigint, slot: number) => void;
    /** Calls `visit` for each valid hint of a block. */
    readonly visitHolders: (block: bigint, visit: (slot: number, atMs: number) => void) => void;
    /** Calls `visit` for each valid hint. */
    readonly visitAll: (visit: (block: bigint, slot: number, atMs: number) => void) => void;
    /** Invalidates all hints of a slot. */
    readonly invalidateSlot: (slot: number) => void;
}

/**
 * Creates an empty table.
 *
 * @param maxBytes - Maximum memory of its entries, in bytes; exceeded only when it is less than one bucket.
 * @returns The table.
 * @example
 * createHintTable(1 << 20).bytes;
 */
export function createHintTable(maxBytes: number): HintTable {
    const bucketCount = Math.max(1, Math.floor(maxBytes / (entryBytes * bucketWays)));
    const words = new Uint32Array(bucketCount * bucketWays * entryWords);
    const generations = new Uint32Array(maxSlots + 1);
    const wide = new BigUint64Array(1);
    const halves = new Uint32Array(wide.buffer);

    function findBucket(block: bigint): number {
        wide[0] = block;
        return (((halves[0]! ^ halves[1]!) >>> 0) % bucketCount) * bucketWays * entryWords;
    }

    function ownerOf(slot: number): number {
        return ((generations[slot]! << slotBits) | slot) >>> 0;
    }

    function isLive(owner: number): boolean {
        const slot = owner & maxSlots;
        return slot !== 0 && owner === ownerOf(slot);
    }

    function put(block: bigint, slot: number, nowMs: number): void {
        const start = findBucket(block);
        const [low, high] = [halves[0]!, halves[1]!];
        const owner = ownerOf(slot);
        let victim = start;
        let oldest = Infinity;
        for (let at = start; at < start + bucketWays * entryWords; at += entryWords) {
            if (words[at] === low && words[at + 1] === high && words[at + 2] === owner) {
                victim = at;
                break;
            }
            const age = isLive(words[at + 2]!) ? words[at + 3]! : -1;
            if (age < oldest) {
                oldest = age;
                victim = at;
            }
        }
        words[victim] = low;
        words[victim + 1] = high;
        words[victim + 2] = owner;
        words[victim + 3] = Math.floor(nowMs / timeUnitMs);
    }

    function remove(block: bigint, slot: number): void {
        const start = findBucket(block);
        const owner = ownerOf(slot);
        for (let at = start; at < start + bucketWays * entryWords; at += entryWords) {
            if (words[at] === halves[0] && words[at + 1] === halves[1] && words[at + 2] === owner) {
                words[at + 2] = 0;
            }
        }
    }

    function visitHolders(block: bigint, visit: (slot: number, atMs: number) => void): void {
        const start = findBucket(block);
        const [low, high] = [halves[0]!, halves[1]!];
        for (let at = start; at < start + bucketWays * entryWords; at += entryWords) {
            if (words[at] === low && words[at + 1] === high && isLive(words[at + 2]!)) {
                visit(words[at + 2]! & maxSlots, words[at + 3]! * timeUnitMs);
            }
        }
    }

    function visitAll(visit: (block: bigint, slot: number, atMs: number) => void): void {
        for (let at = 0; at < words.length; at += entryWords) {
            if (isLive(words[at + 2]!)) {
                const block = (BigInt(words[at + 1]!) << 32n) | BigInt(words[at]!);
                visit(block, words[at + 2]! & maxSlots, words[at + 3]! * timeUnitMs);
            }
        }
    }

    function invalidateSlot(slot: number): void {
        generations[slot] = (generations[slot]! + 1) % maxGenerations;
    }

    const bytes = words.byteLength + generations.byteLength;
    return { bytes, put, remove, visitHolders, visitAll, invalidateSlot };
}
