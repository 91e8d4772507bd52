/**
 * @module
 * This instance's share of the fleet's retry budget. Instances do not coordinate it: each computes a share such that
 * the sum stays within the fleet's budget for any number of instances that may run.
 */

/** Retry budgets by service. Times are milliseconds on the instance's clock. */
export interface FleetRetryBudget {
    /** Counts a caller's request for the service; 0 is the most urgent priority. */
    readonly recordRequest: (service: string, nowMs: number, priority?: number) => void;
    /** Returns whether a retry is left of this instance's share for a request of the priority. */
    readonly hasRetry: (service: string, nowMs: number, priority?: number) => boolean;
    /** Acquires one retry; returns false when this instance's share for the window is used up. */
    readonly tryAcquire: (service: string, nowMs: number, priority?: number) => boolean;
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

/** A caller's request. */
interface RecordedRequest {
    readonly atMs: number;
    readonly priority: number;
}

/** Drops requests that are outside the window. */
function keepRecentRequests(requests: readonly RecordedRequest[], sinceMs: number): RecordedRequest[] {
    const first = requests.findIndex(one => one.atMs > sinceMs);
    return first === -1 ? [] : requests.slice(first);
}

/** Drops times that are outside the window. */
function keepRecent(times: readonly number[], sinceMs: number): number[] {
    const first = times.findIndex(time => time > sinceMs);
    return first === -1 ? [] : times.slice(first);
}

/**
 * Creates a retry budget over a sliding window. When many requests are rejected at once, those of the most urgent priorities can
 * use all of it.
 *
 * @param options - The fleet's budget.
 * @returns This instance's retry budget.
 * @example
 * const retryBudget = createFleetRetryBudget({ ratio: 0.2, slack: 50, windowMs: 10_000, countInstances: () => 8 });
 * retryBudget.tryAcquire("portal", clock.now());
 */
export function createFleetRetryBudget(options: FleetRetryBudgetOptions): FleetRetryBudget {
    const requests = new Map<string, RecordedRequest[]>();
    const retries = new Map<string, number[]>();

    /** Lists when retries were acquired within the window. */
    function listUsed(service: string, nowMs: number): number[] {
        return keepRecent(retries.get(service) ?? [], nowMs - options.windowMs);
    }

    /**
     * The more urgent requests find a retry left: the others use only the part that the requests from theirs on make up, but one
     * retry at least, and never more than the budget.
     */
    function isAllowed(service: string, used: readonly number[], nowMs: number, priority: number): boolean {
        const recent = keepRecentRequests(requests.get(service) ?? [], nowMs - options.windowMs);
        const part = recent.filter(one => one.priority >= priority).length / Math.max(1, recent.length);
        const slack = options.slack / Math.max(1, options.countInstances());
        const budget = (recent.length * options.ratio + slack) * usableFraction;
        const partial = Math.max(1, budget * (recent.length === 0 ? 1 : part));
        return used.length + 1 <= Math.min(budget, partial);
    }

    return {
        recordRequest: (service, nowMs, priority = 0) => {
            const recorded = requests.get(service) ?? [];
            recorded.push({ atMs: nowMs, priority });
            const isFull = recorded.length % 64 === 0;
            requests.set(service, isFull ? keepRecentRequests(recorded, nowMs - options.windowMs) : recorded);
        },
        hasRetry: (service, nowMs, priority = 0) => isAllowed(service, listUsed(service, nowMs), nowMs, priority),
        tryAcquire: (service, nowMs, priority = 0) => {
            const used = listUsed(service, nowMs);
            const isAcquired = isAllowed(service, used, nowMs, priority);
            retries.set(service, isAcquired ? [...used, nowMs] : used);
            return isAcquired;
        },
    };
}
