/**
 * @module
 * All customers' accounts on one instance, and what they need and can spare.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { createDemandMeter, type DemandMeter } from "./createDemandMeter.js";
import { createPermitPool, type PermitPool } from "./createPermitPool.js";
import { createRateBuckets, type RateBuckets } from "./createRateBuckets.js";
import { getRates, rateDimensions } from "./quotaMath.js";
import type { Amounts, FindLimits, HeldShard, QuotaUse } from "./quotaTypes.js";

/** One customer on one instance. */
export interface CustomerQuota {
    readonly limits: () => CustomerLimits;
    readonly rateBuckets: RateBuckets;
    readonly permitPool: PermitPool;
    /** What requests asked for, refused ones included. */
    readonly offered: DemandMeter;
    readonly admitted: DemandMeter;
    /** Requests that wait, and the largest cost among them. */
    readonly setWaiting: (count: number, largest: Amounts) => void;
    /** Fraction of the customer's limits that this instance needs, 0 to 1. */
    readonly neededFraction: () => number;
    /** Permits that this instance needs, those in use included. */
    readonly neededPermits: () => number;
}

/** The accounts of an instance. */
export interface QuotaRegistry {
    /** Account of a customer; undefined when the customer is not in the catalogue. */
    readonly find: (customer: string) => CustomerQuota | undefined;
    readonly list: () => ReadonlyMap<string, CustomerQuota>;
    readonly setShards: (customer: string, seats: readonly HeldShard[]) => void;
    readonly listUse: () => readonly QuotaUse[];
}

/** What the accounts read. */
export interface QuotaRegistryDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly findLimits: FindLimits;
}

/** Factor by which more is asked for than the average demand. */
const demandHeadroom = 1.25;

function divideLargest(amounts: Amounts, by: Amounts): number {
    return Math.max(...rateDimensions.map(dimension => amounts[dimension] / by[dimension]));
}

function createAccount(now: () => number, limits: () => CustomerLimits): CustomerQuota {
    const rate = createRateBuckets({ now, limits });
    const flights = createPermitPool({ now, limits });
    const offered = createDemandMeter(now);
    const admitted = createDemandMeter(now);
    let waiting = 0;
    let largestFraction = 0;

    function neededFraction(): number {
        const flow = divideLargest(offered.rate(), getRates(limits()));
        const negligible = 1e-3;
        return Math.min(1, Math.max(flow < negligible ? 0 : flow * demandHeadroom, largestFraction));
    }

    return {
        limits,
        rateBuckets: rate,
        permitPool: flights,
        offered,
        admitted,
        setWaiting: (count, largest) => {
            waiting = count;
            largestFraction = divideLargest(largest, getRates(limits())) / limits().burstSeconds;
        },
        neededFraction,
        neededPermits: () => Math.min(limits().requestsInFlight, flights.inFlight() + waiting),
    };
}

/**
 * Creates the accounts. A customer's account exists from its first request, seat or loan on.
 *
 * @param dependencies - The clock and the limits in force.
 * @returns The book.
 * @example
 * createShareBook({ now: clock.now, findLimits }).find("town-hall")?.rate.fraction();
 */
export function createQuotaRegistry(dependencies: QuotaRegistryDependencies): QuotaRegistry {
    const accounts = new Map<string, CustomerQuota>();

    function find(customer: string): CustomerQuota | undefined {
        const known = accounts.get(customer);
        const first = dependencies.findLimits(customer);
        if (first === undefined) {
            return undefined;
        }
        if (known !== undefined) {
            return known;
        }
        // The account of a removed customer is kept, with its last limits: it still knows what is lent.
        let last = first;
        const created = createAccount(dependencies.now, () => {
            last = dependencies.findLimits(customer) ?? last;
            return last;
        });
        accounts.set(customer, created);
        return created;
    }

    return {
        find,
        list: () => accounts,
        setShards: (customer, seats) => {
            const account = find(customer);
            account?.rateBuckets.setShards(seats);
            account?.permitPool.setShards(seats);
        },
        listUse: () =>
            [...accounts].map(([customer, account]) => ({
                customer,
                fraction: account.rateBuckets.fraction(),
                admittedPerSecond: account.admitted.rate(),
                inFlight: account.permitPool.inFlight(),
            })),
    };
}
