/**
 * @module
 * Costs of customers' quotas at an owner, by the number of instances that pledge to it.
 */
import { createVirtualClock } from "../../../fakes/createVirtualClock.js";
import { createQuotaOwner, type QuotaOwner } from "../../../src/core/quotas/createQuotaOwner.js";
import type { CustomerQuota } from "../../../src/core/quotas/quotaTypes.js";
import { measureBytes, measureCpuMicroseconds } from "../../_lib/measureCost.js";
import { type SlopeCase, twoYears } from "../slopeCase.js";

const instanceCounts = [24, 91, 380] as const;

const quota: CustomerQuota = { unit: "tokens", ratePerSecond: 350_000, burst: 350_000, plainTokens: 200 };
const bounds = { windowMs: 8_000, overshootRatio: 0.1, slack: 72_000 };

/** Requests per second that an owner is asked for at the two-year size, and pledges that it gets. */
const asksPerSecond = 1_600;
const pledgesPerSecond = 304;

function createOwner(instances: number) {
    const clock = createVirtualClock(1);
    const quotas = new Map(Array.from({ length: twoYears.customers }, (_, index) => [`customer-${index}`, quota]));
    const owner = createQuotaOwner({
        self: "entry-1",
        now: clock.now,
        random: clock.random,
        bounds,
        quotas: () => quotas,
        countInstances: () => instances,
        mayOwn: () => true,
        isCurrent: () => true,
    });
    return { clock, owner };
}

const weights = Array.from({ length: 8 }, (_, pool): [number, number] => [pool, 0.333]);

function pledgeAll(owner: QuotaOwner, instances: number): void {
    const { epoch, atMs } = owner.receivePledge("entry-0", { kind: "pledge", weights });
    for (let index = 0; index < instances; index += 1) {
        owner.receivePledge(`entry-${index}`, { kind: "pledge", weights, epoch, echoMs: atMs, size: instances });
    }
}

function measureAsk(instances: number): number {
    const { clock, owner } = createOwner(instances);
    pledgeAll(owner, instances);
    let id = 0;
    return measureCpuMicroseconds(() => {
        id += 1;
        if (id % asksPerSecond === 0) {
            pledgeAll(owner, instances);
        }
        clock.runUntil(id * 1_000 / asksPerSecond);
        owner.grant([{ id, customer: `customer-${id % twoYears.customers}`, cost: 900 }]);
    });
}

function measurePledge(instances: number): number {
    const { owner } = createOwner(instances);
    pledgeAll(owner, instances);
    const { epoch, atMs } = owner.receivePledge("entry-0", { kind: "pledge", weights });
    let index = 0;
    return measureCpuMicroseconds(() => {
        index = (index + 1) % instances;
        owner.receivePledge(`entry-${index}`, { kind: "pledge", weights, epoch, echoMs: atMs, size: instances });
    });
}

const common = { role: "quotas", sizeName: "instance", sizes: instanceCounts, twoYearSize: 380 } as const;

/** Costs of quotas. */
export const quotaCases: readonly SlopeCase[] = [
    {
        ...common,
        isControl: false,
        subject: "granting a request's cost",
        quantity: "cpuMicroseconds",
        measure: measureAsk,
        twoYearRate: asksPerSecond,
        mechanism: "three owners for each of 8 pools of customers",
    },
    {
        ...common,
        isControl: true,
        subject: "answering a pledge",
        quantity: "cpuMicroseconds",
        measure: measurePledge,
        twoYearRate: pledgesPerSecond,
        mechanism: "a pledge for all pools of an owner each 1.25 s",
    },
    {
        ...common,
        isControl: true,
        subject: "pledges and buckets in memory",
        quantity: "memoryBytes",
        measure: instances =>
            measureBytes(() => {
                const { owner } = createOwner(instances);
                pledgeAll(owner, instances);
                owner.update();
                return owner;
            }),
        twoYearRate: 1,
        mechanism: "an entry for each instance, a bucket for each customer",
    },
];
