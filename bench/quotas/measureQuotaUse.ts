/**
 * @module
 * How much of their quotas customers get: without failures, and while part of the instances is cut off from the others.
 */
import { findUtilisation } from "./checkQuotaHistory.js";
import { playQuotaHistory } from "./playQuotaHistory.js";
import type { PlannedCustomer, PlannedFault, QuotaPlan } from "./quotaHistoryTypes.js";

/** What is measured. */
export interface QuotaUseOptions {
    readonly seed: number;
    readonly instances: number;
    readonly faults: readonly PlannedFault[];
    readonly fromMs: number;
    readonly toMs: number;
    readonly quotaChange?: QuotaPlan["quotaChange"];
}

/** Results. */
export interface QuotaUse {
    /** Least use of a customer that asks for more than its quota, as a part of its rate. */
    readonly least: number;
    /** The same of the customer that gets most. */
    readonly most: number;
    /** Part of the requests that was refused of customers that ask for less than their quota. */
    readonly refusedInside: number;
    /** Longest wait of 99 in 100 requests that were granted, in milliseconds. */
    readonly waitMs: number;
}

/** What customers ask for, as multiples of their quotas' rates. */
const demands = [0.5, 0.7, 2.4, 3, 6];

function createCustomer(demand: number, index: number): PlannedCustomer {
    const ratePerSecond = 18_000 * (index + 1);
    const quota = { unit: "tokens", ratePerSecond, burst: ratePerSecond, plainTokens: 200 } as const;
    return { name: `customer-${index}`, quota, demand, costs: [870, 870, 9_190], spread: 1 };
}

export function measureQuotaUse({ seed, instances, faults, fromMs, toMs, quotaChange }: QuotaUseOptions): QuotaUse {
    const plan: QuotaPlan = {
        seed,
        instances,
        customers: demands.map(createCustomer),
        bounds: { windowMs: 8_000, overshootRatio: 0.1, slack: 72_000 },
        durationMs: toMs,
        lossRatio: 0,
        faults,
        quotaChange,
    };
    const { outcomes } = playQuotaHistory(plan);
    const isOver = (index: number) => plan.customers[index]!.demand > 1;
    const used = plan.customers.map((customer, index) => findUtilisation(customer, outcomes[index]!, fromMs, toMs));
    const inside = outcomes.filter((_, index) => !isOver(index));
    const refused = inside.reduce((sum, { spent, unready }) => sum + spent + unready, 0);
    const granted = inside.reduce((sum, { waitsMs }) => sum + waitsMs.length, 0);
    const waits = inside.flatMap(({ waitsMs }) => waitsMs).toSorted((left, right) => left - right);
    return {
        least: Math.min(...used.filter((_, index) => isOver(index))),
        most: Math.max(...used.filter((_, index) => isOver(index))),
        refusedInside: refused / (refused + granted),
        waitMs: waits[Math.floor(waits.length * 0.99)] ?? 0,
    };
}
