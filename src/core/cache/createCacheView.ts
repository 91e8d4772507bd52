/**
 * @module
 * View of the engines' prefix caches: hints from answers, cache events and peers, in bounded memory.
 */
import type { CacheEventPage } from "../ports/enginePort.js";
import { createHintTable, maxSlots } from "./_lib/hintTable.js";

/** An upstream that has leading blocks of a prompt cached, according to hints. */
export interface Holder {
    readonly upstream: string;
    /** Number of leading blocks that it is expected to have cached. */
    readonly cachedBlocks: number;
    /** Milliseconds since the hint was last confirmed. */
    readonly ageMs: number;
}

/** Why the hints of an upstream were invalidated; `gone`: the upstream was removed. */
export type InvalidationReason = "incarnation" | "weightsVersion" | "gap" | "gone";

/** Options of {@link createCacheView}. */
export interface CacheViewOptions {
    /** Memory of the view, in bytes; allocated at once and never exceeded. */
    readonly maxBytes: number;
    /** One block hash in this many is stored, a power of two; a chain hash also identifies the blocks before it. */
    readonly sampleEvery: number;
    /** Called when the hints of an upstream were invalidated. */
    readonly onInvalidate?: (upstream: string, reason: InvalidationReason) => void;
}

/** The cache view. Times are milliseconds on the instance's clock. */
export interface CacheView {
    /** Maximum memory of the view, in bytes. */
    readonly bytes: number;
    /** Records the incarnation that an engine states; a change invalidates its hints. */
    readonly recordIncarnation: (upstream: string, incarnation: string) => void;
    /** Records the weights version that an engine states; a change invalidates its hints. */
    readonly recordWeightsVersion: (upstream: string, weightsVersion: string) => void;
    /** Records that an upstream has cached, or is about to cache, the leading blocks of a chain. */
    readonly recordCached: (upstream: string, blocks: readonly bigint[], nowMs: number) => void;
    /** Records whether a hint was correct: this lengthens or shortens the lifetime of the upstream's hints. */
    readonly recordHintOutcome: (holder: Holder, isRight: boolean) => void;
    /** Applies a page of cache events; a gap first invalidates the upstream's hints. Returns whether it had a gap. */
    readonly applyEvents: (upstream: string, page: CacheEventPage, nowMs: number) => boolean;
    /** Returns the sequence number from which the upstream's events are read next. */
    readonly nextSequence: (upstream: string) => number;
    /** Removes an upstream that crashed or was taken out of service. */
    readonly remove: (upstream: string) => void;
    /** Finds the holders of leading blocks of a chain, the longest prefix first. */
    readonly findHolders: (blocks: readonly bigint[], nowMs: number) => readonly Holder[];
    /** Returns the incarnation that the hints of an upstream belong to; undefined when none was stated. */
    readonly findIncarnation: (upstream: string) => string | undefined;
    /** Calls `visit` for each hint. */
    readonly visitHints: (visit: (block: bigint, upstream: string, atMs: number) => void) => void;
    /** Stores one hint of a peer. */
    readonly applyHint: (upstream: string, block: bigint, atMs: number) => void;
}

interface Slot {
    readonly index: number;
    readonly upstream: string;
    incarnation: string | undefined;
    weightsVersion: string | undefined;
    nextSequence: number | undefined;
    /** Milliseconds for which an unconfirmed hint of this upstream is used. */
    lifetimeMs: number;
}

/** Bytes reserved for each upstream in addition to its hints. */
const slotBytes = 512;

/** Divisor of the memory that gives the part reserved for upstreams. */
const slotMemoryDivisor = 8;

/** Maximum number of holders returned for one prompt. */
const maxHolders = 16;

/** Maximum stored length of an incarnation or weights version; longer ones are truncated. */
const maxIdentityCharacters = 64;

const initialLifetimeMs = 30_000;
const minLifetimeMs = 1_000;
const maxLifetimeMs = 120_000;
const lifetimeShrink = 0.9;
const lifetimeGrowth = 1.02;

/**
 * Creates an empty view.
 *
 * @param options - Memory limit, sampling and the callback for invalidated hints.
 * @returns The view.
 * @example
 * const view = createCacheView({ maxBytes: 12 << 20, sampleEvery: 4 });
 * view.recordCached("engine-1", blocks, clock.now());
 * view.findHolders(blocks, clock.now())[0]?.upstream; // "engine-1"
 */
export function createCacheView(options: CacheViewOptions): CacheView {
    const slotLimit = Math.max(1, Math.min(maxSlots, Math.floor(options.maxBytes / slotMemoryDivisor / slotBytes)));
    const generationBytes = (maxSlots + 1) * 4;
    const table = createHintTable(options.maxBytes - slotLimit * slotBytes - generationBytes);
    const slots = new Map<string, Slot>();
    const slotsByIndex: (Slot | undefined)[] = [undefined];
    const freeIndexes: number[] = [];
    const sampleMask = BigInt(options.sampleEvery - 1);

    function isSampled(block: bigint): boolean {
        return sampleMask === 0n || (block & sampleMask) === 0n;
    }

    function invalidateHints(slot: Slot, reason: InvalidationReason): void {
        table.invalidateSlot(slot.index);
        options.onInvalidate?.(slot.upstream, reason);
    }

    function remove(upstream: string): void {
        const slot = slots.get(upstream);
        if (slot !== undefined) {
            invalidateHints(slot, "gone");
            slots.delete(upstream);
            slotsByIndex[slot.index] = undefined;
            freeIndexes.push(slot.index);
        }
    }

    function allocateIndex(): number {
        if (freeIndexes.length === 0 && slotsByIndex.length > slotLimit) {
            remove(slots.keys().next().value!);
        }
        return freeIndexes.pop() ?? slotsByIndex.length;
    }

    function findSlot(upstream: string): Slot {
        const known = slots.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const slot: Slot = {
            index: allocateIndex(),
            upstream,
            incarnation: undefined,
            weightsVersion: undefined,
            nextSequence: undefined,
            lifetimeMs: initialLifetimeMs,
        };
        slots.set(upstream, slot);
        slotsByIndex[slot.index] = slot;
        return slot;
    }

    function recordIncarnation(upstream: string, incarnation: string): void {
        const slot = findSlot(upstream);
        const stated = incarnation.slice(0, maxIdentityCharacters);
        if (slot.incarnation !== undefined && slot.incarnation !== stated) {
            invalidateHints(slot, "incarnation");
            slot.nextSequence = undefined;
        }
        slot.incarnation = stated;
    }

    function recordWeightsVersion(upstream: string, weightsVersion: string): void {
        const slot = findSlot(upstream);
        const stated = weightsVersion.slice(0, maxIdentityCharacters);
        if (slot.weightsVersion !== undefined && slot.weightsVersion !== stated) {
            invalidateHints(slot, "weightsVersion");
        }
        slot.weightsVersion = stated;
    }

    function recordCached(upstream: string, blocks: readonly bigint[], nowMs: number): void {
        const { index } = findSlot(upstream);
        for (const block of blocks) {
            if (isSampled(block)) {
                table.put(block, index, nowMs);
            }
        }
    }

    function recordHintOutcome(holder: Holder, isRight: boolean): void {
        const slot = findSlot(holder.upstream);
        const factor = isRight ? lifetimeGrowth : lifetimeShrink;
        slot.lifetimeMs = Math.min(maxLifetimeMs, Math.max(minLifetimeMs, slot.lifetimeMs * factor));
    }

    function applyEvents(upstream: string, page: CacheEventPage, nowMs: number): boolean {
        recordIncarnation(upstream, page.incarnation);
        const slot = findSlot(upstream);
        const first = slot.nextSequence;
        const isGap = hasGap(page, first);
        if (isGap) {
            invalidateHints(slot, "gap");
        }
        for (const event of page.events) {
            if (first !== undefined && event.sequence < first) {
                continue;
            }
            const block = BigInt(`0x${event.block}`);
            if (!isSampled(block)) {
                continue;
            }
            if (event.action === "stored") {
                table.put(block, slot.index, nowMs);
            }
            else {
                table.remove(block, slot.index);
            }
        }
        slot.nextSequence = Math.max(first ?? 0, page.nextSequence);
        return isGap;
    }

    function findHolders(blocks: readonly bigint[], nowMs: number): readonly Holder[] {
        const found: Holder[] = [];
        let cachedBlocks = blocks.length;
        function visit(index: number, atMs: number): void {
            const slot = slotsByIndex[index];
            const ageMs = Math.max(0, nowMs - atMs);
            if (slot === undefined || ageMs > slot.lifetimeMs || found.length >= maxHolders) {
                return;
            }
            if (!found.some(holder => holder.upstream === slot.upstream)) {
                found.push({ upstream: slot.upstream, cachedBlocks, ageMs });
            }
        }
        for (; cachedBlocks > 0; cachedBlocks -= 1) {
            const block = blocks[cachedBlocks - 1]!;
            if (isSampled(block)) {
                table.visitHolders(block, visit);
            }
        }
        return found;
    }

    function visitHints(visit: (block: bigint, upstream: string, atMs: number) => void): void {
        table.visitAll((block, index, atMs) => {
            const slot = slotsByIndex[index];
            if (slot !== undefined) {
                visit(block, slot.upstream, atMs);
            }
        });
    }

    return {
        bytes: table.bytes + slotLimit * slotBytes,
        recordIncarnation,
        recordWeightsVersion,
        recordCached,
        recordHintOutcome,
        applyEvents,
        nextSequence: upstream => slots.get(upstream)?.nextSequence ?? 0,
        remove,
        findHolders,
        findIncarnation: upstream => slots.get(upstream)?.incarnation,
        visitHints,
        applyHint: (upstream, block, atMs) => {
            if (isSampled(block)) {
                table.put(block, findSlot(upstream).index, atMs);
            }
        },
    };
}

function hasGap(page: CacheEventPage, first: number | undefined): boolean {
    let expected = first ?? page.events[0]?.sequence ?? page.nextSequence;
    for (const event of page.events) {
        if (event.sequence > expected) {
            return true;
        }
        expected = Math.max(expected, event.sequence + 1);
    }
    return page.nextSequence > expected;
}
