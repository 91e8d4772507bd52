/**
 * @module
 * This instance's share of the fleet's retry budget. Instances do not coordinate it: each computes a share such that
 * the sum stays within the fleet's budget for any number of instances that may run.
 */

/** Retry budgets by service. Times are milliseconds on the instance's clock. */
export interface FleetRetryBudget {
    /** Counts a caller's request for the service. */
    readonly recordRequest: (service: string, nowMs: number) => void;
    /** Returns whether a retry is left of this instance's share. */
    readonly hasRetry: (service: string, nowMs: number) => boolean;
    /** Acquires one retry; returns false when this instance's share for the window is used up. */
    readonly tryAcquire: (service: string, nowMs: number) => boolean;
}

/** Options of {@link createFleetRetryBudget}. */
export interface FleetRetryBudgetOptions {
    /** Retries allowed per request in a window, over the fleet. */
    readonly ratio: number;
    /** Retries allowed in a window in addition to the ratio, over the fleet. */
    readonly slack: number;
    readonly windowMs: number;
    /** Number of instances that may be running. */
    readonly countInstances: () => number;
}

/**
 * Fraction of this instance's share that it uses. The remainder covers instances that are not known yet and earlier
 * incarnations of a process that ended within the window.
 */
const usableFraction = 0.6;

/** Drops times that are outside the window. */
function keepRecent(times: readonly number[], sinceMs: number): number[] {
    const first = times.findIndex(time => time > sinceMs);
    return first === -1 ? [] : times.slice(first);
}

/**
 * Creates a retry budget over a sliding window.
 *
 * @param options - The fleet's budget.
 * @returns This instance's retry budget.
 * @example
 * const retryBudget = createFleetRetryBudget({ ratio: 0.2, slack: 50, windowMs: 10_000, countInstances: () => 8 });
 * retryBudget.tryAcquire("portal", clock.now());
 */
export function createFleetRetryBudget(options: FleetRetryBudgetOptions): FleetRetryBudget {
    const requests = new Map<string, number[]>();
    const retries = new Map<string, number[]>();

    /** Lists when retries were acquired within the window. */
    function listUsed(service: string, nowMs: number): number[] {
        return keepRecent(retries.get(service) ?? [], nowMs - options.windowMs);
    }

    function isAllowed(service: string, used: readonly number[], nowMs: number): boolean {
        const earned = keepRecent(requests.get(service) ?? [], nowMs - options.windowMs).length * options.ratio;
        const slack = options.slack / Math.max(1, options.countInstances());
        return used.length + 1 <= (earned + slack) * usableFraction;
    }

    return {
        recordRequest: (service, nowMs) => {
            const times = requests.get(service) ?? [];
            times.push(nowMs);
            requests.set(service, times.length % 64 === 0 ? keepRecent(times, nowMs - options.windowMs) : times);
        },
        hasRetry: (service, nowMs) => isAllowed(service, listUsed(service, nowMs), nowMs),
        tryAcquire: (service, nowMs) => {
            const used = listUsed(service, nowMs);
            const isAcquired = isAllowed(service, used, nowMs);
            retries.set(service, isAcquired ? [...used, nowMs] : used);
            return isAcquired;
        },
    };
}
