/**
 * @module
 * Plays one history: callers send requests to instances, which charge them to their customers' quotas.
 */
import type { QuotaAskResult } from "../../src/core/quotas/createQuotaAsker.js";
import { createQuotaFleet, type QuotaFleet } from "./createQuotaFleet.js";
import type { CustomerOutcome, PlannedCustomer, PlannedFault, QuotaPlan, QuotaRun } from "./quotaHistoryTypes.js";

/** What a history has shown. */
export interface QuotaHistory {
    readonly outcomes: readonly CustomerOutcome[];
    readonly messages: number;
    readonly messageBytes: number;
}

/** Part of the granted requests that no upstream runs. */
const notRunRatio = 0.1;

/** Time for which a request may wait to be granted, in milliseconds. */
const patienceMs = 150;

/** Time until a request that is not run gives back, at most, in milliseconds. */
const maxNotRunMs = 4_000;

/** Time before callers send, in milliseconds. */
const leadMs = 5_000;

function scheduleFault(fleet: QuotaFleet, { kind, atMs, forMs, share }: PlannedFault): void {
    const { clock, names } = fleet;
    clock.after(atMs, () => {
        const hit = names.filter(() => clock.random() < share);
        if (kind === "partition") {
            fleet.setSides(new Map(hit.map(name => [name, 1])));
            clock.after(forMs, () => fleet.setSides(new Map()));
        }
        else if (kind === "deaf") {
            fleet.setDeaf(hit);
            clock.after(forMs, () => fleet.setDeaf([]));
        }
        else if (kind === "pause") {
            hit.forEach(fleet.pause);
            clock.after(forMs, () => hit.forEach(fleet.resume));
        }
        else {
            hit.forEach(fleet.end);
            clock.after(forMs, () => hit.filter(name => fleet.find(name) === undefined).forEach(fleet.start));
        }
    });
}

function createCaller(fleet: QuotaFleet, customer: PlannedCustomer): () => CustomerOutcome {
    const { clock } = fleet;
    const runs: QuotaRun[] = [];
    const waitsMs: number[] = [];
    let spent = 0;
    let unready = 0;
    const meanCost = customer.costs.reduce((sum, cost) => sum + cost, 0) / customer.costs.length;
    const perSecond = customer.demand * customer.quota.ratePerSecond / meanCost;
    const entries = fleet.names.slice(0, Math.max(1, Math.round(fleet.names.length * customer.spread)));

    function send(): void {
        clock.after(-Math.log(1 - clock.random()) * 1_000 / perSecond, send);
        const process = fleet.find(entries[Math.floor(clock.random() * entries.length)]!);
        const quota = process === undefined ? undefined : fleet.quotasAt(process.name).get(customer.name);
        if (process === undefined || quota === undefined || process.isPaused) {
            return;
        }
        const cost = customer.costs[Math.floor(clock.random() * customer.costs.length)]!;
        const sentMs = clock.now();
        const onResult = (result: QuotaAskResult) => {
            if (result.kind === "refused") {
                spent += result.isSpent ? 1 : 0;
                unready += result.isSpent ? 0 : 1;
                return;
            }
            waitsMs.push(clock.now() - sentMs);
            if (clock.random() < notRunRatio) {
                clock.after(clock.random() * maxNotRunMs, () => process.quotas.giveBack(result.grant));
                return;
            }
            runs.push({ atMs: clock.now(), cost: result.grant.cost });
        };
        const waitUntil = { spentMs: sentMs + patienceMs, unreadyMs: sentMs + patienceMs };
        process.quotas.charge({ customer: customer.name, quota, tokenCount: cost, waitUntil }, onResult);
    }
    clock.after(leadMs, send);
    return () => ({ name: customer.name, runs, spent, unready, waitsMs });
}

export function playQuotaHistory(plan: QuotaPlan): QuotaHistory {
    const fleet = createQuotaFleet(plan);
    fleet.names.forEach(name => fleet.clock.after(fleet.clock.random() * 300, () => fleet.start(name)));
    const readers = plan.customers.map(customer => createCaller(fleet, customer));
    plan.faults.forEach(fault => scheduleFault(fleet, fault));
    fleet.clock.runUntil(plan.durationMs);
    return {
        outcomes: readers.map(read => read()),
        messages: fleet.countMessages(),
        messageBytes: fleet.estimateBytes(),
    };
}
