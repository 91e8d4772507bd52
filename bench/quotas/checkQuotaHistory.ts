/**
 * @module
 * Checks a history against the quotas.
 */
import { configurationMs } from "./createQuotaFleet.js";
import type { CustomerOutcome, PlannedCustomer, QuotaPlan } from "./quotaHistoryTypes.js";

/** The largest use in a window, as a part of what is allowed there. */
function findFullest(
    plan: QuotaPlan,
    { runs }: CustomerOutcome,
    allowed: number,
    fromMs: number,
    toMs: number,
): number {
    let sum = 0;
    let first = 0;
    let fullest = 0;
    const counted = runs.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
    counted.forEach(({ atMs, cost }) => {
        sum += cost;
        while (counted[first]!.atMs < atMs - plan.bounds.windowMs) {
            sum -= counted[first]!.cost;
            first += 1;
        }
        fullest = Math.max(fullest, sum / allowed);
    });
    return fullest;
}

function computeAllowed({ bounds }: QuotaPlan, { quota }: PlannedCustomer, factor: number): number {
    const perWindow = quota.ratePerSecond * bounds.windowMs / 1_000 + quota.burst;
    return perWindow * factor * (1 + bounds.overshootRatio) + bounds.slack;
}

/** Finds the fullest window of a customer, as a part of what it is allowed: more than 1 breaks the quota. */
export function findFullestWindow(plan: QuotaPlan, customer: PlannedCustomer, outcome: CustomerOutcome): number {
    const { quotaChange: change } = plan;
    const highest = computeAllowed(plan, customer, Math.max(1, change?.factor ?? 1));
    const whole = findFullest(plan, outcome, highest, 0, plan.durationMs);
    if (change === undefined) {
        return whole;
    }
    const boundMs = change.atMs + configurationMs;
    const later = findFullest(plan, outcome, computeAllowed(plan, customer, change.factor), boundMs, plan.durationMs);
    return Math.max(whole, later);
}

/** What ran of a customer between two times, as a part of its quota's rate. */
export function findUtilisation(
    { quota }: PlannedCustomer,
    { runs }: CustomerOutcome,
    fromMs: number,
    toMs: number,
): number {
    const used = runs.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).reduce((sum, { cost }) => sum + cost, 0);
    return used / (quota.ratePerSecond * (toMs - fromMs) / 1_000);
}
