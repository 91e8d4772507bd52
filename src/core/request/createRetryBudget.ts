/**
 * @module
 * Bounds retries to a share of traffic, so that failing upstreams are not flooded.
 */

/** The budget of an instance. */
export interface RetryBudget {
    /** Notes a first attempt, which earns a share of a retry. */
    readonly recordRequest: () => void;
    /** Takes one retry; false when none is left. */
    readonly tryAcquire: () => boolean;
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries earned by one first attempt. */
    readonly retryRatio: number;
    /** Retries that may be saved up, and that a new budget holds. */
    readonly capacity: number;
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
    let remaining = options.capacity;
    return {
        recordRequest: () => {
            remaining = Math.min(options.capacity, remaining + options.retryRatio);
        },
        tryAcquire: () => {
            if (remaining < 1) {
                return false;
            }
            remaining -= 1;
            return true;
        },
    };
}
