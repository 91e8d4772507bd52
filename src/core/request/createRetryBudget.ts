/**
 * @module
 * Retry budget: limits retries to a ratio of the requests, so that failing upstreams are not overloaded.
 */

/** The budget of an instance. */
export interface RetryBudget {
    /** Records a first attempt, which adds `retryRatio` to the budget. */
    readonly recordRequest: () => void;
    /** Consumes one retry; returns false when the budget is exhausted. */
    readonly tryAcquire: () => boolean;
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries that one first attempt adds to the budget. */
    readonly retryRatio: number;
    /** Maximum and initial number of retries in the budget. */
    readonly capacity: number;
}

/**
 * Creates a budget.
 *
 * @param options - Ratio and capacity.
 * @returns The budget.
 * @example
 * createRetryBudget({ retryRatio: 0.2, capacity: 100 }).tryAcquire(); // true
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
