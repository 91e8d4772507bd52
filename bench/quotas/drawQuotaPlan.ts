/**
 * @module
 * Draws plans of histories from seeds.
 */
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { PlannedCustomer, PlannedFault, QuotaPlan } from "./quotaHistoryTypes.js";

const kinds: readonly PlannedFault["kind"][] = ["partition", "deaf", "kill", "pause"];

const durationMs = 45_000;

/** Tokens of the requests of a customer. */
const tokenCosts: readonly (readonly number[])[] = [[9_190], [870], [870, 870, 870, 9_190], [200]];

/** The same of customers whose requests exceed a part of their quota, or all of it. */
const largeCosts: readonly (readonly number[])[] = [[53_000], [870, 60_000], [40_000, 120_000], [20_000, 400_000]];

function drawLargeCustomer(random: () => number, index: number): PlannedCustomer {
    const ratePerSecond = 5_000 + Math.floor(30_000 * random());
    const burst = Math.floor(90_000 * random());
    const costs = largeCosts[Math.floor(random() * largeCosts.length)]!;
    const quota = { unit: "tokens", ratePerSecond, burst, plainTokens: 200 } as const;
    return { name: `customer-${index}`, quota, demand: 1 + 5 * random(), costs, spread: 1 };
}

function drawCustomer(random: () => number, index: number, instances: number): PlannedCustomer {
    const isOver = random() < 0.5;
    const demand = isOver ? 1.5 + 5 * random() : 0.55;
    const spread = random() < 0.3 ? Math.max(1 / instances, 0.1) : 1;
    if (random() < 0.2) {
        const ratePerSecond = 2 + Math.floor(40 * random());
        const quota = { unit: "requests", ratePerSecond, burst: ratePerSecond, plainTokens: 200 } as const;
        return { name: `customer-${index}`, quota, demand, costs: [1], spread };
    }
    const ratePerSecond = 18_000 * (1 + Math.floor(6 * random()));
    return {
        name: `customer-${index}`,
        quota: { unit: "tokens", ratePerSecond, burst: ratePerSecond, plainTokens: 200 },
        demand,
        costs: tokenCosts[Math.floor(random() * tokenCosts.length)]!,
        spread,
    };
}

/** Draws a history with a few failures, and for some seeds a changed configuration. */
export function drawQuotaPlan(seed: number, instances: number, customers: number, areLarge = false): QuotaPlan {
    const { random } = createVirtualClock(seed);
    const faults = Array.from({ length: 1 + Math.floor(3 * random()) }, (): PlannedFault => ({
        kind: kinds[Math.floor(random() * kinds.length)]!,
        atMs: 8_000 + 24_000 * random(),
        forMs: 800 + 9_000 * random(),
        share: random() < 0.25 ? 1 : 0.1 + 0.5 * random(),
    }));
    const hasChange = random() < 0.4;
    return {
        seed,
        instances,
        customers: Array.from(
            { length: customers },
            (_, index) => areLarge ? drawLargeCustomer(random, index) : drawCustomer(random, index, instances),
        ),
        bounds: { windowMs: 8_000, overshootRatio: 0.1, slack: areLarge && random() < 0.5 ? 0 : 72_000 },
        durationMs,
        lossRatio: random() < 0.5 ? 0 : 0.03 * random(),
        faults,
        quotaChange: hasChange ? { atMs: 20_000, factor: random() < 0.5 ? 0.2 : 2 } : undefined,
    };
}
