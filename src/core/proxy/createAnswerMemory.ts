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
    /** Holds a complete answer until it is written out; it is not evicted, and makes room for no other one. */
    readonly hold: (bytes: number) => AnswerHolding;
    readonly totalBytes: () => number;
}

interface Holding {
    bytes: number;
    /** Undefined for an answer that is not evicted. */
    readonly evict: (() => void) | undefined;
}

/**
 * Creates a memory that holds nothing.
 *
 * @param maxBytes - Limit of all answers together, in bytes.
 * @param onReleased - Called with the bytes of each answer that is no longer held.
 * @returns The memory.
 * @example
 * const holding = createAnswerMemory(32 << 20).open(() => send.abort());
 * holding.set(chunk.length);
 */
export function createAnswerMemory(
    maxBytes: number,
    onReleased: (bytes: number) => void = () => undefined,
): AnswerMemory {
    const holdings = new Set<Holding>();
    let totalBytes = 0;

    function findLargest(): Holding | undefined {
        return [...holdings].filter(one => one.evict !== undefined).reduce<Holding | undefined>(
            (largest, one) => largest === undefined || one.bytes > largest.bytes ? one : largest,
            undefined,
        );
    }

    function close(holding: Holding): void {
        if (holdings.delete(holding)) {
            totalBytes -= holding.bytes;
            onReleased(holding.bytes);
        }
    }

    function set(holding: Holding, bytes: number): void {
        if (!holdings.has(holding)) {
            return;
        }
        totalBytes += bytes - holding.bytes;
        holding.bytes = bytes;
        if (totalBytes > maxBytes) {
            const largest = findLargest();
            largest?.evict?.();
        }
    }

    function open(evict: (() => void) | undefined): AnswerHolding {
        const holding: Holding = { bytes: 0, evict };
        holdings.add(holding);
        return { set: bytes => set(holding, bytes), close: () => close(holding) };
    }

    return {
        open,
        hold: bytes => {
            const holding = open(undefined);
            holding.set(bytes);
            return holding;
        },
        totalBytes: () => totalBytes,
    };
}
