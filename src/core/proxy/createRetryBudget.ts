/**
 * @module
 * This instance's part of the fleet's retry budget. Instances do not talk about it: each takes a part that stays within
 * the whole for every number of instances that may run.
 */

/** The allowance of one service. Times are milliseconds on the instance's clock. */
export interface RetryBudget {
    /** Notes a caller's request for the service. */
    readonly recordRequest: (service: string, nowMs: number) => void;
    /** Takes one repeat; false when the window's part is used up. */
    readonly tryAcquire: (service: string, nowMs: number) => boolean;
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
    /** Repeats allowed for each request in a window, over the fleet. */
    readonly ratio: number;
    /** Repeats allowed in a window beside those, over the fleet. */
    readonly slack: number;
    readonly windowMs: number;
    /** Instances that may run. */
    readonly countInstances: () => number;
}

/**
 * Share of the allowance that is used. The rest covers instances that are not known yet and lives of a process that ended
 * within the window.
 */
const usedShare = 0.6;

/** Drops times that are older than a window. */
function keepRecent(times: readonly number[], sinceMs: number): number[] {
    const first = times.findIndex(time => time > sinceMs);
    return first === -1 ? [] : times.slice(first);
}

/**
 * Creates an allowance over a sliding window.
 *
 * @param options - The fleet's budget.
 * @returns The allowance.
 * @example
 * const allowance = createRetryAllowance({ ratio: 0.2, slack: 50, windowMs: 10_000, countInstances: () => 8 });
 * allowance.take("portal", clock.now());
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const requests = new Map<string, number[]>();
    const repeats = new Map<string, number[]>();

    return {
        recordRequest: (service, nowMs) => {
            const times = requests.get(service) ?? [];
            times.push(nowMs);
            requests.set(service, times.length % 64 === 0 ? keepRecent(times, nowMs - options.windowMs) : times);
        },
        tryAcquire: (service, nowMs) => {
            const sinceMs = nowMs - options.windowMs;
            const earned = keepRecent(requests.get(service) ?? [], sinceMs).length * options.ratio;
            const slack = options.slack / Math.max(1, options.countInstances());
            const used = keepRecent(repeats.get(service) ?? [], sinceMs);
            const isAllowed = used.length + 1 <= (earned + slack) * usedShare;
            repeats.set(service, isAllowed ? [...used, nowMs] : used);
            return isAllowed;
        },
    };
}
