/**
 * @module
 * The quotas of all customers on one instance, with their demand.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { createDemandMeter, type DemandMeter } from "./createDemandMeter.js";
import { createPermitPool, type PermitPool } from "./createPermitPool.js";
import { createRateBuckets, type RateBuckets } from "./createRateBuckets.js";
import { getRates, rateDimensions } from "./quotaMath.js";
import type { Amounts, FindLimits, HeldShard, QuotaUse } from "./quotaTypes.js";

/** The quota of one customer on one instance. */
export interface CustomerQuota {
    readonly limits: () => CustomerLimits;
    readonly rateBuckets: RateBuckets;
    readonly permitPool: PermitPool;
    /** Cost of all requests, including refused ones. */
    readonly offered: DemandMeter;
    readonly admitted: DemandMeter;
    /** Sets the number of waiting requests, and the largest cost among them in each dimension. */
    readonly setWaiting: (count: number, largest: Amounts) => void;
    /** Fraction of the customer's limits that this instance needs, 0 to 1. */
    readonly neededFraction: () => number;
    /** Permits that this instance needs, including those in use. */
    readonly neededPermits: () => number;
}

/** The quotas of all customers on one instance. */
export interface QuotaRegistry {
    /** Quota of a customer; undefined when the customer is not in the catalogue. */
    readonly find: (customer: string) => CustomerQuota | undefined;
    readonly list: () => ReadonlyMap<string, CustomerQuota>;
    readonly setShards: (customer: string, shards: readonly HeldShard[]) => void;
    readonly listUse: () => readonly QuotaUse[];
}

/** What the quotas depend on. */
export interface QuotaRegistryDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly findLimits: FindLimits;
}

/** Factor by which the needed fraction exceeds the average demand. */
const demandHeadroom = 1.25;

function divideLargest(amounts: Amounts, by: Amounts): number {
    return Math.max(...rateDimensions.map(dimension => amounts[dimension] / by[dimension]));
}

function createQuota(now: () => number, limits: () => CustomerLimits): CustomerQuota {
    const rateBuckets = createRateBuckets({ now, limits });
    const permitPool = createPermitPool({ now, limits });
    const offered = createDemandMeter(now);
    const admitted = createDemandMeter(now);
    let waiting = 0;
    let largestFraction = 0;

    function neededFraction(): number {
        const load = divideLargest(offered.rate(), getRates(limits()));
        const negligible = 1e-3;
        return Math.min(1, Math.max(load < negligible ? 0 : load * demandHeadroom, largestFraction));
    }

    return {
        limits,
        rateBuckets,
        permitPool,
        offered,
        admitted,
        setWaiting: (count, largest) => {
            waiting = count;
            largestFraction = divideLargest(largest, getRates(limits())) / limits().burstSeconds;
        },
        neededFraction,
        neededPermits: () => Math.min(limits().requestsInFlight, permitPool.inFlight() + waiting),
    };
}

/**
 * Creates a registry. A customer's quota exists from its first request, shard or grant on.
 *
 * @param dependencies - The clock and the limits in force.
 * @returns The registry.
 * @example
 * createQuotaRegistry({ now: clock.now, findLimits }).find("town-hall")?.rateBuckets.fraction();
 */
export function createQuotaRegistry(dependencies: QuotaRegistryDependencies): QuotaRegistry {
    const quotas = new Map<string, CustomerQuota>();

    function find(customer: string): CustomerQuota | undefined {
        const existing = quotas.get(customer);
        const first = dependencies.findLimits(customer);
        if (first === undefined) {
            return undefined;
        }
        if (existing !== undefined) {
            return existing;
        }
        // The quota of a removed customer is kept, with its last limits, because it still records what is lent.
        let last = first;
        const created = createQuota(dependencies.now, () => {
            last = dependencies.findLimits(customer) ?? last;
            return last;
        });
        quotas.set(customer, created);
        return created;
    }

    return {
        find,
        list: () => quotas,
        setShards: (customer, shards) => {
            const quota = find(customer);
            quota?.rateBuckets.setShards(shards);
            quota?.permitPool.setShards(shards);
        },
        listUse: () =>
            [...quotas].map(([customer, quota]) => ({
                customer,
                fraction: quota.rateBuckets.fraction(),
                admittedPerSecond: quota.admitted.rate(),
                inFlight: quota.permitPool.inFlight(),
            })),
    };
}
