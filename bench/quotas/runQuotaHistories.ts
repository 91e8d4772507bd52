/**
 * @module
 * Plays seeded histories and finds overrun quotas.
 */
import { findFullestWindow } from "./checkQuotaHistory.js";
import { drawQuotaPlan } from "./drawQuotaPlan.js";
import { playQuotaHistory } from "./playQuotaHistory.js";

/** Which histories are played. */
export interface QuotaRunOptions {
    readonly instances: number;
    readonly histories: number;
    readonly firstSeed: number;
    /** Whether requests exceed what one owner may grant at once. */
    readonly areLarge?: boolean;
}

/** What they have shown. */
export interface QuotaRunResult {
    /** Customers that used more than their quota allows, with the seed and the use as a part of what is allowed. */
    readonly overruns: readonly string[];
    readonly fullest: number;
    readonly runs: number;
    /** Messages that an instance sends, per second. */
    readonly messagesPerSecond: number;
}

/** Customers of a history. */
const customers = 8;

export function runQuotaHistories({ instances, histories, firstSeed, areLarge }: QuotaRunOptions): QuotaRunResult {
    const overruns: string[] = [];
    let fullest = 0;
    let runs = 0;
    let perSecond = 0;
    for (let seed = firstSeed; seed < firstSeed + histories; seed += 1) {
        const plan = drawQuotaPlan(seed, instances, customers, areLarge);
        const history = playQuotaHistory(plan);
        perSecond = Math.max(perSecond, history.messages * 1_000 / plan.durationMs / instances);
        plan.customers.forEach((customer, index) => {
            const outcome = history.outcomes[index]!;
            const used = findFullestWindow(plan, customer, outcome);
            runs += outcome.runs.length;
            fullest = Math.max(fullest, used);
            if (used > 1) {
                overruns.push(`seed ${seed}: ${customer.name} used ${used.toFixed(3)}`);
            }
        });
    }
    return { overruns, fullest, runs, messagesPerSecond: Math.round(perSecond) };
}
