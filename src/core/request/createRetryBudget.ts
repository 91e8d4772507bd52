/**
 * @module
 * Bounds retries to a share of traffic, so that failing upstreams are not flooded.
 */

/** The budget of an instance. */
export interface RetryBudget {
    /** Notes a first attempt, which earns a share of a retry. */
    readonly earn: () => void;
    /** Takes one retry; false when none is left. */
    readonly take: () => boolean;
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries earned by one first attempt. */
    readonly share: number;
    /** Retries that may be saved up, and that a new budget holds. */
    readonly reserve: number;
}

/**
 * Creates a budget.
 *
 * @param options - Share and reserve.
 * @returns The budget.
 * @example
 * createRetryBudget({ share: 0.2, reserve: 100 }).take(); // true
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    let left = options.reserve;
    return {
        earn: () => {
            left = Math.min(options.reserve, left + options.share);
        },
        take: () => {
            if (left < 1) {
                return false;
            }
            left -= 1;
            return true;
        },
    };
}
