/**
 * @module
 * The quotas that this instance grants for others: one token bucket a customer, with the shares that instances have pledged to it.
 * Each instance has one share of N in all, where N is at least the number of instances that run; so the buckets of all owners
 * together never exceed a quota, however differently instances see the fleet.
 */
import { millisecondsPerSecond } from "../constants.js";
import { computeQuotaLimit } from "./computeQuotaLimit.js";
import { countOwners } from "./countOwners.js";
import { createPledgeBook } from "./createPledgeBook.js";
import { createQuotaBucket, type QuotaBucket } from "./createQuotaBucket.js";
import { findQuotaPool } from "./findQuotaPool.js";
import type {
    QuotaAnswerItem,
    QuotaAskItem,
    QuotaMessage,
    QuotaPledge,
    QuotaReceipt,
    QuotaReturnItem,
} from "./quotaMessage.js";
import type { CustomerQuota, QuotaBounds, QuotaLimit } from "./quotaTypes.js";

/** Grants quotas. */
export interface QuotaOwner {
    /** Takes note of a pledge and answers it. */
    readonly receivePledge: (from: string, pledge: QuotaPledge) => QuotaReceipt;
    /** Takes note of this instance's pledge to itself; `weights` replace those before. */
    readonly pledgeSelf: (weights: QuotaPledge["weights"]) => void;
    readonly grant: (items: readonly QuotaAskItem[]) => Extract<QuotaMessage["quota"], { readonly kind: "answer"; }>;
    /** Takes back amounts that were granted in an epoch and not used. */
    readonly takeBack: (epoch: number, items: readonly QuotaReturnItem[]) => void;
    /** Fills the buckets and drops what is over; called often. */
    readonly update: () => void;
    /** Number of customers of whose quotas the owner keeps buckets. */
    readonly countBuckets: () => number;
    /** Lists the pools of which this owner grants a share now. */
    readonly describeShares: () => readonly QuotaShare[];
    /** Forgets everything, after a pause of the process. */
    readonly clear: () => void;
}

/** Share of a pool's quotas that this instance grants. */
export interface QuotaShare {
    readonly pool: number;
    readonly share: number;
}

/** Dependencies of {@link createQuotaOwner}. */
export interface QuotaOwnerDependencies {
    readonly self: string;
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly random: () => number;
    readonly bounds: QuotaBounds;
    /** Quotas in force, by customer. */
    readonly quotas: () => ReadonlyMap<string, CustomerQuota>;
    /** Upper bound on the instances that run; undefined while it is not known. */
    readonly countInstances: () => number | undefined;
    /** Whether this instance may own quotas; not while it leaves. */
    readonly mayOwn: () => boolean;
    /** Whether an instance that pledged is live, and has not started again since. */
    readonly isCurrent: (from: string) => boolean;
}

interface KeptShare {
    readonly sinceMs: number;
    readonly share: number;
}

interface CustomerBucket {
    readonly bucket: QuotaBucket;
    share: number;
    /** Shares of the last window, each until the next one. */
    shares: readonly KeptShare[];
    /** When the share last grew, other than by a renewed pledge. */
    grownMs: number;
    /** What callers that were refused are expected to come back for, drained at the rate. */
    backlog: number;
    backlogMs: number;
}

/** Shares of pools, which hold until a time. */
interface PoolShares {
    readonly untilMs: number;
    readonly compute: (pool: number) => number;
    readonly byPool: Map<number, number>;
}

/** Growth of a share from which on it counts as not settled, as a factor. */
const notedGrowth = 1.1;

/** Time for which returns are known by their ids: buckets take nothing back that was taken before. */
const returnRetentionMs = 30_000;

/** Time after which a share that does not grow counts as settled, in milliseconds. */
const settlingMs = 2_000;

const maxEpoch = 2 ** 30;

/** Time for which computed shares are used, in milliseconds. */
const shareLifetimeMs = 50;

/**
 * Creates an owner without shares.
 *
 * @param deps - The quotas and the fleet.
 * @returns The owner.
 * @example
 * createQuotaOwner(deps).grant([{ id: 1, customer: "clinic", cost: 900 }]);
 */
export function createQuotaOwner(deps: QuotaOwnerDependencies): QuotaOwner {
    const book = createPledgeBook();
    const buckets = new Map<string, CustomerBucket>();
    const createEpoch = () => Math.floor(deps.random() * maxEpoch);
    /** When returns arrived, by id. */
    const returnedMs = new Map<number, number>();
    let epoch = createEpoch();
    let shares: PoolShares | undefined;

    function countInstances(): number | undefined {
        const own = deps.countInstances();
        const told = book.largestSize(deps.now());
        return own === undefined && told === 0 ? undefined : Math.max(own ?? 0, told);
    }

    function computeShares(): PoolShares {
        const untilMs = deps.now() + shareLifetimeMs;
        const size = countInstances();
        return {
            untilMs,
            // A pledge that ends meanwhile does not count.
            compute: pool =>
                size === undefined || !deps.mayOwn() ? 0 : Math.min(1, book.sumWeights(pool, untilMs) / size),
            byPool: new Map(),
        };
    }

    function findShare(pool: number): number {
        if (shares === undefined || shares.untilMs <= deps.now()) {
            shares = computeShares();
        }
        const share = shares.byPool.get(pool) ?? shares.compute(pool);
        shares.byPool.set(pool, share);
        return share;
    }

    function keepShare(entry: CustomerBucket, share: number): void {
        const nowMs = deps.now();
        const next = entry.shares.length === 0 ? [{ sinceMs: -Infinity, share: 0 }] : entry.shares;
        const kept = next.at(-1)?.share === share ? next : [...next, { sinceMs: nowMs, share }];
        // The one that the window begins with counts too.
        const first = kept.findLastIndex(one => one.sinceMs < nowMs - deps.bounds.windowMs);
        entry.shares = kept.slice(Math.max(0, first));
    }

    /** An owner overdraws only by what it had a share of during the whole window: else one share is overdrawn at two owners. */
    function findLimit(quota: CustomerQuota, { share, shares: kept }: CustomerBucket): QuotaLimit {
        const least = kept.reduce((smallest, one) => Math.min(smallest, one.share), share);
        return {
            ...computeQuotaLimit(quota, share, deps.bounds),
            debt: computeQuotaLimit(quota, least, deps.bounds).debt,
        };
    }

    /** Returns nothing, and keeps no bucket, for a quota of which this instance has no share. */
    function refill(customer: string, quota: CustomerQuota): CustomerBucket | undefined {
        const nowMs = deps.now();
        const share = findShare(findQuotaPool(customer, quota, deps.bounds));
        if (share === 0) {
            buckets.delete(customer);
            return undefined;
        }
        const known = buckets.get(customer);
        const entry = known
            ?? { bucket: createQuotaBucket(nowMs), share, shares: [], grownMs: nowMs, backlog: 0, backlogMs: nowMs };
        buckets.set(customer, entry);
        // A pledge may have ended at any time since the last refill.
        const accruing = computeQuotaLimit(quota, Math.min(entry.share, share), deps.bounds);
        entry.bucket.refill(accruing, nowMs);
        entry.grownMs = share > entry.share * notedGrowth ? nowMs : entry.grownMs;
        entry.share = share;
        keepShare(entry, share);
        entry.bucket.refill(findLimit(quota, entry), nowMs);
        return entry;
    }

    /** Time after which a refused caller finds its amount, behind those refused before it. */
    function queueRefused(
        entry: CustomerBucket,
        cost: number,
        isRepeated: boolean,
        rate: number,
        waitMs: number,
    ): number {
        const nowMs = deps.now();
        const drained = rate * (nowMs - entry.backlogMs) / millisecondsPerSecond;
        // A request that was refused before is not behind itself.
        const backlog = Math.max(0, entry.backlog - drained - (isRepeated ? cost : 0));
        const maxWaitMs = deps.bounds.windowMs;
        entry.backlog = Math.min(backlog + cost, rate * maxWaitMs / millisecondsPerSecond);
        entry.backlogMs = nowMs;
        return Math.min(maxWaitMs, waitMs + backlog * millisecondsPerSecond / rate);
    }

    function answer({ id, customer, cost, isRepeated = false }: QuotaAskItem): QuotaAnswerItem {
        const quota = deps.quotas().get(customer);
        if (quota === undefined) {
            return { id, state: "granted", waitMs: 0 };
        }
        const entry = refill(customer, quota);
        if (entry === undefined) {
            return { id, state: "unready", waitMs: 0 };
        }
        const { bucket, share } = entry;
        const owners = countOwners(findQuotaPool(customer, quota, deps.bounds));
        const mark = bucket.take(cost);
        if (mark !== undefined) {
            return { id, state: "granted", waitMs: 0, mark };
        }
        const { rate } = computeQuotaLimit(quota, share, deps.bounds);
        if (deps.now() - entry.grownMs < settlingMs) {
            // The shares of a fleet that has started again arrive one by one.
            return { id, state: "unready", waitMs: 0 };
        }
        // Each of the owners is asked for the request.
        const waitMs = queueRefused(entry, cost / owners, isRepeated, rate, bucket.findWaitMs(cost));
        return { id, state: "spent", waitMs: Math.ceil(waitMs) };
    }

    function receivePledge(from: string, pledge: QuotaPledge): QuotaReceipt {
        const nowMs = deps.now();
        const receipt = { kind: "receipt", epoch, atMs: Math.floor(nowMs), size: deps.countInstances() } as const;
        if (!deps.mayOwn()) {
            book.remove(from);
            return { ...receipt, isReleased: true };
        }
        // A message that was held up on its way, or in a paused process, does not prolong a pledge.
        if (pledge.epoch === epoch && pledge.echoMs !== undefined && pledge.echoMs <= nowMs) {
            book.record(from, { weights: pledge.weights, size: pledge.size }, pledge.echoMs);
        }
        return receipt;
    }

    function takeBack(ofEpoch: number, items: readonly QuotaReturnItem[]): void {
        for (const { customer, cost, mark, id } of ofEpoch === epoch ? items : []) {
            if (returnedMs.has(id)) {
                continue;
            }
            returnedMs.set(id, deps.now());
            const quota = deps.quotas().get(customer);
            if (quota !== undefined && buckets.has(customer)) {
                refill(customer, quota)?.bucket.giveBack(cost, mark);
            }
        }
    }

    function dropReturns(): void {
        for (const [id, atMs] of returnedMs) {
            if (deps.now() - atMs < returnRetentionMs) {
                return;
            }
            returnedMs.delete(id);
        }
    }

    return {
        receivePledge,
        pledgeSelf: weights => book.record(deps.self, { weights, size: deps.countInstances() }, deps.now()),
        grant: items => ({ kind: "answer", epoch, items: items.map(answer) }),
        takeBack,
        update: () => {
            book.removeOver(deps.now(), from => from === deps.self || deps.isCurrent(from));
            shares = undefined;
            dropReturns();
            const quotas = deps.quotas();
            quotas.forEach((quota, customer) => refill(customer, quota));
            [...buckets.keys()].filter(customer => !quotas.has(customer)).forEach(customer => buckets.delete(customer));
        },
        countBuckets: () => buckets.size,
        describeShares: () => {
            const pools = new Set([...deps.quotas()].map(([name, quota]) => findQuotaPool(name, quota, deps.bounds)));
            return [...pools].map(pool => ({ pool, share: findShare(pool) })).filter(({ share }) => share > 0);
        },
        clear: () => {
            book.clear();
            buckets.clear();
            shares = undefined;
            epoch = createEpoch();
        },
    };
}
