/**
 * @module
 * Memory that answers in progress hold, with a limit for all of them together.
 */

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
     * one has not been read for seconds, longer than any other; it has to close the holding. Without it, it is not evicted.
     */
    readonly hold: (bytes: number, evict?: () => void) => AnswerHolding;
    readonly totalBytes: () => number;
}

interface Holding {
    bytes: number;
    /** Undefined for an answer that is not evicted. */
    readonly evict: (() => void) | undefined;
    /** When a complete answer was handed to its caller, in milliseconds on the clock; undefined for other ones. */
    readonly madeMs: number | undefined;
}

/** Time for which a complete answer is kept for its caller although others need the memory, in milliseconds. */
const readTimeMs = 2_000;

/** Options of {@link createAnswerMemory}. */
export interface AnswerMemoryOptions {
    /** Called with the bytes by which an answer has grown. */
    readonly onGrown?: (bytes: number) => void;
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
    { onGrown = () => undefined, now = () => -Infinity }: AnswerMemoryOptions = {},
): AnswerMemory {
    const holdings = new Set<Holding>();
    let totalBytes = 0;

    function findLargest(): Holding | undefined {
        const isCollected = ({ evict, madeMs }: Holding) => evict !== undefined && madeMs === undefined;
        return [...holdings].filter(isCollected).reduce<Holding | undefined>(
            (largest, one) => largest === undefined || one.bytes > largest.bytes ? one : largest,
            undefined,
        );
    }

    /** Finds the answer that its caller has not read for the longest time. */
    function findUnread(): Holding | undefined {
        const sinceMs = now() - readTimeMs;
        return [...holdings].find(({ evict, madeMs }) =>
            evict !== undefined && madeMs !== undefined && madeMs <= sinceMs
        );
    }

    function close(holding: Holding): void {
        if (holdings.delete(holding)) {
            totalBytes -= holding.bytes;
            onReleased(holding.bytes);
        }
    }

    function makeRoom(): void {
        let unread = findUnread();
        while (totalBytes > maxBytes && unread !== undefined) {
            unread.evict?.();
            // An answer whose caller leaves may be closed later than it is evicted.
            close(unread);
            unread = findUnread();
        }
        if (totalBytes > maxBytes) {
            findLargest()?.evict?.();
        }
    }

    function set(holding: Holding, bytes: number): void {
        if (!holdings.has(holding)) {
            return;
        }
        const grownBytes = bytes - holding.bytes;
        totalBytes += grownBytes;
        holding.bytes = bytes;
        if (grownBytes > 0) {
            onGrown(grownBytes);
        }
        if (totalBytes > maxBytes) {
            makeRoom();
        }
    }

    function open(evict: (() => void) | undefined, madeMs?: number): AnswerHolding {
        const holding: Holding = { bytes: 0, evict, madeMs };
        holdings.add(holding);
        return { set: bytes => set(holding, bytes), close: () => close(holding) };
    }

    return {
        open: evict => open(evict),
        hold: (bytes, evict) => {
            const holding = open(evict, now());
            holding.set(bytes);
            return holding;
        },
        totalBytes: () => totalBytes,
    };
}
