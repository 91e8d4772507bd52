/**
 * @module
 * Memory that answers in progress hold, with a limit for all of them together.
 */

import { limitBySize } from "../admission/limitBySize.js";

/** What one answer holds. */
export interface AnswerHolding {
    /** Records how many bytes the answer holds now. */
    readonly set: (bytes: number) => void;
    readonly close: () => void;
}

/** The memory of all answers in progress. */
export interface AnswerMemory {
    /**
     * Opens the holding of an answer. `evict` is called when all answers together exceed the limit and this one holds most;
     * it has to close the holding.
     */
    readonly open: (evict: () => void) => AnswerHolding;
    /**
     * Holds a complete answer until it is written out. `evict` is called when all answers together exceed the limit and this
     * one has not been read for seconds; it leads to the close of the holding. Without it, it is not evicted.
     * `readUnsent` returns the bytes that are not sent yet, or undefined while others are sent before; by default none is sent.
     */
    readonly hold: (bytes: number, evict?: () => void, readUnsent?: () => number | undefined) => AnswerHolding;
    readonly totalBytes: () => number;
}

interface Holding {
    bytes: number;
    /** Undefined for an answer that is not evicted. */
    readonly evict: (() => void) | undefined;
    /** How far a complete answer is sent; undefined for other ones. */
    readonly sending: Sending | undefined;
    /** Whether it was evicted and is not closed yet. */
    isLeaving: boolean;
}

/** How far a complete answer was sent when that was last looked at. */
interface Sending {
    readonly readUnsent: () => number | undefined;
    unsentBytes: number | undefined;
    /** Since when nothing was sent, in milliseconds on the clock. */
    sinceMs: number;
}

/** Time for which a complete answer is kept for its caller although others need the memory, in milliseconds. */
const readTimeMs = 2_000;

/** Time after which all answers are looked at again for one that is not read, in milliseconds. */
const lookIntervalMs = 50;

/** Options of {@link createAnswerMemory}. */
export interface AnswerMemoryOptions {
    /** Called with the bytes by which an answer has grown. */
    readonly onGrown?: (bytes: number) => void;
    /** Limit up to which one answer alone may go beyond the other one, in bytes; by default none may. */
    readonly maxSingleBytes?: number;
    /** Time on the clock, in milliseconds; without it no complete answer is evicted. */
    readonly now?: () => number;
}

/**
 * Creates a memory that holds nothing.
 *
 * @param maxBytes - Limit of all answers together, in bytes.
 * @param onReleased - Called with the bytes of each answer that is no longer held.
 * @param options - What is called when answers grow, and the clock.
 * @returns The memory.
 * @example
 * const holding = createAnswerMemory(32 << 20).open(() => send.abort());
 * holding.set(chunk.length);
 */
export function createAnswerMemory(
    maxBytes: number,
    onReleased: (bytes: number) => void = () => undefined,
    { onGrown = () => undefined, now = () => NaN, maxSingleBytes = maxBytes }: AnswerMemoryOptions = {},
): AnswerMemory {
    const holdings = new Set<Holding>();
    let totalBytes = 0;
    /** Bytes of those that were evicted and are not closed yet. */
    let leavingBytes = 0;
    /** When none was found that is not read, in milliseconds on the clock. */
    let foundNoneMs = -Infinity;

    function findLargest(): Holding | undefined {
        const isCollected = ({ evict, sending }: Holding) => evict !== undefined && sending === undefined;
        return [...holdings].filter(isCollected).reduce<Holding | undefined>(
            (largest, one) => largest === undefined || one.bytes > largest.bytes ? one : largest,
            undefined,
        );
    }

    /** Looks whether nothing of an answer was sent for seconds. */
    function lookIfUnread({ sending, isLeaving, evict }: Holding): boolean {
        if (sending === undefined || isLeaving || evict === undefined) {
            return false;
        }
        const unsentBytes = sending.readUnsent();
        if (unsentBytes !== sending.unsentBytes) {
            sending.unsentBytes = unsentBytes;
            sending.sinceMs = now();
        }
        return unsentBytes !== undefined && sending.sinceMs <= now() - readTimeMs;
    }

    /** Whether there is too much for an answer that holds a number of bytes. */
    function isOverFor(bytes: number): boolean {
        return totalBytes - leavingBytes > limitBySize(maxBytes, bytes);
    }

    function isSmall(bytes: number): boolean {
        return limitBySize(maxBytes, bytes) === maxBytes;
    }

    /** Returns the size of the largest answer, 0 if it is a small one. */
    function measureLargest(): number {
        const sizes = [...holdings].map(({ isLeaving, bytes }) => isLeaving || isSmall(bytes) ? 0 : bytes);
        return Math.max(0, ...sizes);
    }

    /** Whether an answer is ended. One that exceeds all others does not keep out small ones. */
    function mustEnd({ bytes }: Holding): boolean {
        const heldBytes = totalBytes - leavingBytes;
        if (heldBytes - bytes <= maxBytes && heldBytes <= maxSingleBytes) {
            return false;
        }
        const apartBytes = isSmall(bytes) ? measureLargest() : 0;
        return heldBytes - apartBytes > limitBySize(maxBytes, bytes);
    }

    function close(holding: Holding): void {
        if (holdings.delete(holding)) {
            totalBytes -= holding.bytes;
            leavingBytes -= holding.isLeaving ? holding.bytes : 0;
            onReleased(holding.bytes);
        }
    }

    /** Finds the answers of which nothing was sent for seconds; looks at all of them again only a while after it found none. */
    function findUnread(): readonly Holding[] {
        if (now() - foundNoneMs < lookIntervalMs) {
            return [];
        }
        const unread = [...holdings].filter(lookIfUnread);
        foundNoneMs = unread.length === 0 ? now() : -Infinity;
        return unread;
    }

    /** Makes room for an answer that holds a number of bytes. */
    function makeRoom(bytes: number): void {
        for (const unread of findUnread()) {
            if (isOverFor(bytes)) {
                unread.isLeaving = true;
                leavingBytes += unread.bytes;
                unread.evict?.();
            }
        }
        const largest = findLargest();
        if (largest !== undefined && mustEnd(largest)) {
            largest.evict?.();
        }
    }

    function set(holding: Holding, bytes: number): void {
        if (!holdings.has(holding)) {
            return;
        }
        const grownBytes = bytes - holding.bytes;
        totalBytes += grownBytes;
        leavingBytes += holding.isLeaving ? grownBytes : 0;
        holding.bytes = bytes;
        if (grownBytes > 0) {
            onGrown(grownBytes);
        }
        if (isOverFor(bytes)) {
            makeRoom(bytes);
        }
    }

    function open(evict: (() => void) | undefined, sending?: Sending): AnswerHolding {
        const holding: Holding = { bytes: 0, evict, sending, isLeaving: false };
        holdings.add(holding);
        return { set: bytes => set(holding, bytes), close: () => close(holding) };
    }

    return {
        open: evict => open(evict),
        hold: (bytes, evict, readUnsent = () => bytes) => {
            const holding = open(evict, { readUnsent, unsentBytes: readUnsent(), sinceMs: now() });
            holding.set(bytes);
            return holding;
        },
        totalBytes: () => totalBytes,
    };
}
