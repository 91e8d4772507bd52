/**
 * @module
 * A bound on the memory that the bodies of callers' requests hold together.
 */

/** Memory that one body holds. */
export interface MemoryReservation {
    /** Adds bytes; returns false, and adds none, when the budget has too few left. */
    readonly tryGrow: (bytes: number) => boolean;
    /** Returns the memory; calling it again has no effect. */
    readonly release: () => void;
}

/** The budget. */
export interface MemoryBudget {
    /** Opens a reservation of no bytes. */
    readonly open: () => MemoryReservation;
    readonly usedBytes: () => number;
}

/** Dependencies of {@link createMemoryBudget}. */
export interface MemoryBudgetOptions {
    readonly maxBytes: number;
    /** Called with the bytes of each reservation that was returned. */
    readonly onReleased: (bytes: number) => void;
}

/**
 * Creates a budget of which nothing is used.
 *
 * @param options - The bound, and the receiver of what was returned.
 * @returns The budget.
 * @example
 * const reservation = budget.open();
 * reservation.tryGrow(4_000_000); // false when the bodies of other requests hold too much
 */
export function createMemoryBudget(options: MemoryBudgetOptions): MemoryBudget {
    let usedBytes = 0;
    return {
        open: () => {
            let ownBytes = 0;
            return {
                tryGrow: bytes => {
                    if (usedBytes + bytes > options.maxBytes) {
                        return false;
                    }
                    usedBytes += bytes;
                    ownBytes += bytes;
                    return true;
                },
                release: () => {
                    usedBytes -= ownBytes;
                    options.onReleased(ownBytes);
                    ownBytes = 0;
                },
            };
        },
        usedBytes: () => usedBytes,
    };
}
