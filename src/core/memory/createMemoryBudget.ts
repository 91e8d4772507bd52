/**
 * @module
 * A bound on the memory that what callers send holds together.
 */
import type { Progress } from "../admission/chooseLeastProgress.js";
import { chooseSlowHolder, type HolderProgress } from "../admission/chooseSlowHolder.js";
import { limitBySize } from "../admission/limitBySize.js";

/** What may yield to others: a body that is received, or a connection that is read in turns. */
export interface YieldingHolder {
    /** How much of it has arrived or was parsed, and since when; undefined while it may not yield. */
    readonly readProgress: () => Progress | undefined;
    /** Refuses its request or closes it, because others need the memory. */
    readonly evict: () => void;
}

/** Memory that one body holds. */
export interface MemoryReservation {
    /**
     * Adds bytes; returns false, and adds none, when the budget has too few left, and no unfinished body that is behind its
     * pace can yield.
     */
    readonly tryGrow: (bytes: number) => boolean;
    /**
     * Sets what is held, also when there is no room for it.
     *
     * @returns Whether there is, with those that were behind and yielded.
     */
    readonly hold: (bytes: number) => boolean;
    /** The holder may yield to others until the returned function is called. */
    readonly yieldWhile: (holder: YieldingHolder) => () => void;
    /** Returns the memory, which is garbage now; calling it again has no effect. */
    readonly release: () => void;
    /** Returns the memory of the body, which is used again, but not what its request takes. */
    readonly giveBack: () => void;
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
    /** Pace at which a holder does not yield, in bytes per millisecond; by default the one of bodies. */
    readonly paceBytesPerMs?: number;
    /** Called with the bytes of each reservation that became garbage. */
    readonly onReleased: (bytes: number) => void;
    /** Time on the clock, in milliseconds. */
    readonly now: () => number;
}

/** Time after which all holdings are looked at again for one that can yield, in milliseconds. */
const lookIntervalMs = 10;

/** What a reservation holds. */
interface Holding {
    ownBytes: number;
    otherBytes: number;
    holder: YieldingHolder | undefined;
}

/** A holding that may yield. */
interface Candidate extends HolderProgress {
    readonly holding: Holding;
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
    const { maxBytes, maxSingleBytes = maxBytes, paceBytesPerMs } = options;
    let usedBytes = 0;
    /** The body that went beyond the bound. */
    let exceeding: Holding | undefined;
    /** When none was found that could yield, in milliseconds on the clock. */
    let foundNoneMs = -Infinity;

    /** Returns what a holding has, but for its request; returns the number of its bytes. */
    function giveBack(holding: Holding): number {
        const { ownBytes } = holding;
        unfinished.delete(holding);
        exceeding = exceeding === holding ? undefined : exceeding;
        holding.ownBytes = 0;
        usedBytes -= ownBytes;
        return ownBytes;
    }

    /** Returns all that a holding has; returns the number of its own bytes. */
    function close(holding: Holding): number {
        usedBytes -= holding.otherBytes;
        holding.otherBytes = 0;
        return giveBack(holding);
    }

    /** Lists what may yield to a holding, with how far each has come. */
    function listYielding(asking: Holding): readonly Candidate[] {
        const candidates: Candidate[] = [];
        for (const holding of unfinished) {
            const progress = holding === asking ? undefined : holding.holder?.readProgress();
            if (progress !== undefined) {
                candidates.push({ holding, ...progress, heldBytes: holding.ownBytes });
            }
        }
        return candidates;
    }

    /** Lets one body at a time go beyond the bound. */
    function tryExceed(holding: Holding, bytes: number): boolean {
        if (usedBytes + bytes > maxSingleBytes || (exceeding !== undefined && exceeding !== holding)) {
            return false;
        }
        exceeding = holding;
        return true;
    }

    /** Counts by how much bytes of a holding would exceed its limit. The one that may exceed all does not keep out small ones. */
    function countExcess(holding: Holding, bytes: number): number {
        const limitBytes = limitBySize(maxBytes, holding.ownBytes + bytes);
        const isSmall = limitBytes === maxBytes;
        const apartBytes = isSmall && exceeding !== holding ? exceeding?.ownBytes ?? 0 : 0;
        return usedBytes - apartBytes + bytes - limitBytes;
    }

    /** Makes room for bytes of one body by those that are behind, if they hold enough; returns whether there is room. */
    function makeRoom(holding: Holding, bytes: number): boolean {
        let excessBytes = countExcess(holding, bytes);
        if (excessBytes <= 0) {
            return true;
        }
        const nowMs = options.now();
        if (nowMs - foundNoneMs < lookIntervalMs) {
            return tryExceed(holding, bytes);
        }
        const candidates = new Set(listYielding(holding));
        const chosen: Holding[] = [];
        while (excessBytes > 0) {
            const slow = chooseSlowHolder(candidates, one => one, nowMs, paceBytesPerMs);
            if (slow === undefined) {
                foundNoneMs = chosen.length === 0 ? nowMs : foundNoneMs;
                return tryExceed(holding, bytes);
            }
            candidates.delete(slow);
            chosen.push(slow.holding);
            excessBytes -= slow.holding.ownBytes + slow.holding.otherBytes;
        }
        chosen.forEach(one => {
            const { holder } = one;
            close(one);
            holder?.evict();
        });
        return true;
    }

    function grow(holding: Holding, bytes: number): void {
        usedBytes += bytes;
        holding.ownBytes += bytes;
    }

    return {
        open: (otherBytes = 0) => {
            const holding: Holding = { ownBytes: 0, otherBytes, holder: undefined };
            usedBytes += otherBytes;
            return {
                tryGrow: bytes => {
                    if (!makeRoom(holding, bytes)) {
                        return false;
                    }
                    grow(holding, bytes);
                    return true;
                },
                hold: bytes => {
                    const grownBytes = bytes - holding.ownBytes;
                    const hasRoom = grownBytes <= 0 || makeRoom(holding, grownBytes);
                    grow(holding, grownBytes);
                    return hasRoom;
                },
                yieldWhile: holder => {
                    holding.holder = holder;
                    unfinished.add(holding);
                    return () => unfinished.delete(holding);
                },
                release: () => options.onReleased(close(holding)),
                giveBack: () => void giveBack(holding),
            };
        },
        usedBytes: () => usedBytes,
    };
}
