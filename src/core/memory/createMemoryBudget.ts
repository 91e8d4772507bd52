/**
 * @module
 * A bound on the memory that the bodies of callers' requests hold together.
 */
import type { Progress } from "../admission/chooseLeastProgress.js";
import { chooseSlowHolder, type HolderProgress } from "../admission/chooseSlowHolder.js";

/** A body that is received. */
export interface UnfinishedBody {
    /** How much of it has arrived, and since when. */
    readonly readProgress: () => Progress;
    /** Refuses its request, because others need the memory. */
    readonly evict: () => void;
}

/** Memory that one body holds. */
export interface MemoryReservation {
    /**
     * Adds bytes; returns false, and adds none, when the budget has too few left, and no unfinished body that is behind its
     * pace can yield.
     */
    readonly tryGrow: (bytes: number) => boolean;
    /** The body may yield to others until the returned function is called. */
    readonly yieldWhile: (body: UnfinishedBody) => () => void;
    /** Returns the memory; calling it again has no effect. */
    readonly release: () => void;
}

/** The budget. */
export interface MemoryBudget {
    /**
     * Opens a reservation. `otherBytes`, none by default, is what its request takes besides the body: it is counted, also when
     * there is no room, and is not reported when it is returned.
     */
    readonly open: (otherBytes?: number) => MemoryReservation;
    readonly usedBytes: () => number;
}

/** Dependencies of {@link createMemoryBudget}. */
export interface MemoryBudgetOptions {
    readonly maxBytes: number;
    /** Bound up to which one body alone may go beyond it; by default none may. */
    readonly maxSingleBytes?: number;
    /** Called with the bytes of each reservation that was returned. */
    readonly onReleased: (bytes: number) => void;
    /** Time on the clock, in milliseconds. */
    readonly now: () => number;
}

/** What a reservation holds. */
interface Holding {
    ownBytes: number;
    otherBytes: number;
    body: UnfinishedBody | undefined;
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
    const unfinished = new Set<Holding>();
    const { maxBytes, maxSingleBytes = maxBytes } = options;
    let usedBytes = 0;
    /** The body that went beyond the bound. */
    let exceeding: Holding | undefined;

    function release(holding: Holding): void {
        const { ownBytes, otherBytes } = holding;
        unfinished.delete(holding);
        exceeding = exceeding === holding ? undefined : exceeding;
        holding.ownBytes = 0;
        holding.otherBytes = 0;
        usedBytes -= ownBytes + otherBytes;
        options.onReleased(ownBytes);
    }

    function readProgress({ body, ownBytes }: Holding): HolderProgress {
        return { ...body!.readProgress(), heldBytes: ownBytes };
    }

    /** Lets one body at a time go beyond the bound. */
    function tryExceed(holding: Holding, bytes: number): boolean {
        if (usedBytes + bytes > maxSingleBytes || (exceeding !== undefined && exceeding !== holding)) {
            return false;
        }
        exceeding = holding;
        return true;
    }

    /** Makes room for bytes of one body by those that are behind, if they hold enough; returns whether there is room. */
    function makeRoom(holding: Holding, bytes: number): boolean {
        const chosen = new Set<Holding>();
        let excessBytes = usedBytes + bytes - maxBytes;
        while (excessBytes > 0) {
            const others = [...unfinished].filter(one => one !== holding && !chosen.has(one));
            const slow = chooseSlowHolder(others, readProgress, options.now());
            if (slow === undefined) {
                return tryExceed(holding, bytes);
            }
            chosen.add(slow);
            excessBytes -= slow.ownBytes + slow.otherBytes;
        }
        chosen.forEach(one => {
            release(one);
            one.body?.evict();
        });
        return true;
    }

    return {
        open: (otherBytes = 0) => {
            const holding: Holding = { ownBytes: 0, otherBytes, body: undefined };
            usedBytes += otherBytes;
            return {
                tryGrow: bytes => {
                    if (!makeRoom(holding, bytes)) {
                        return false;
                    }
                    usedBytes += bytes;
                    holding.ownBytes += bytes;
                    return true;
                },
                yieldWhile: body => {
                    holding.body = body;
                    unfinished.add(holding);
                    return () => unfinished.delete(holding);
                },
                release: () => release(holding),
            };
        },
        usedBytes: () => usedBytes,
    };
}
