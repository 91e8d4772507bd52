/**
 * @module
 * Borrowing of quota between instances. The lender counts the term of a grant from the time at which it grants, and the
 * borrower from the time at which it *sent* the request, so that the borrower's use ends first, however long messages
 * are delayed.
 */
import { createKeyedBackoff } from "./createKeyedBackoff.js";
import type { CustomerQuota, QuotaRegistry } from "./createQuotaRegistry.js";
import { clockDriftFactor, grantLifetimeMs, grantRenewalThresholdMs, maxBorrowedRequestMs } from "./limitConstants.js";
import { combineAmounts, zeroAmounts } from "./quotaMath.js";
import type { BorrowGrant, BorrowItem, BorrowRequest, BorrowResponse } from "./quotaTypes.js";

/** Borrows quota from other instances and lends quota to them. */
export interface Borrowing {
    /** Returns the requests to send now, by the name of the lender. */
    readonly planRequests: () => ReadonlyMap<string, BorrowRequest>;
    /** Lends what can be spared to a borrower; undefined for a request that is out of order. */
    readonly respond: (req: BorrowRequest) => BorrowResponse | undefined;
    /** Applies a lender's response; late and outdated responses are ignored. */
    readonly applyResponse: (lender: string, response: BorrowResponse) => void;
}

/** What borrowing depends on. */
export interface BorrowingDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly instance: string;
    readonly incarnation: string;
    readonly quotas: QuotaRegistry;
    /** Other instances that hold quota shards of a customer. */
    readonly listLenders: (customer: string) => readonly string[];
    /** Random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

interface SentRequest {
    readonly sequence: number;
    readonly sentMs: number;
}

interface BorrowerState {
    readonly incarnation: string;
    readonly sequence: number;
}

/** Maximum number of lenders that are asked in one round. */
const maxLendersPerRound = 4;

/** Maximum number of customers in one request. */
const maxItemsPerRequest = 8;

/** Smallest fraction of the limits that is borrowed or lent; a smaller deficit does not justify a message. */
const minFraction = 0.002;

/** Milliseconds for which a lender that has not responded yet is not asked again. */
const responseTimeoutMs = 1_000;

/** Fractions are sent as integers in ten-thousandths. */
const fractionScale = 10_000;

const roundDown = (fraction: number) => Math.floor(fraction * fractionScale) / fractionScale;
const roundUp = (fraction: number) => Math.ceil(fraction * fractionScale) / fractionScale;

/**
 * Creates the borrowing of an instance.
 *
 * @param dependencies - The quotas and the other instances.
 * @returns The borrowing; nothing is borrowed or lent at first.
 * @example
 * createBorrowing(dependencies).planRequests().size; // 0
 */
export function createBorrowing(dependencies: BorrowingDependencies): Borrowing {
    const { now, quotas } = dependencies;
    const sent = new Map<string, SentRequest>();
    const borrowers = new Map<string, BorrowerState>();
    const emptyGrantPauses = createKeyedBackoff(now);
    const growthPauses = createKeyedBackoff(now);
    let sequence = 0;

    /** Renews a grant before it expires, and earlier if permits are missing and the last grant was an increase. */
    function shouldAsk(quota: CustomerQuota, customer: string, lender: string, isShortOfPermits: boolean): boolean {
        const key = `${customer}/${lender}`;
        const rateGrant = quota.rateBuckets.findBorrowed(lender);
        const remainingMs = rateGrant === undefined ? 0 : rateGrant.untilMs - now();
        const isAwaitingResponse = now() - (sent.get(lender)?.sentMs ?? -Infinity) < responseTimeoutMs;
        const isDue = remainingMs < grantRenewalThresholdMs || (isShortOfPermits && !growthPauses.isBackingOff(key));
        return isDue && !emptyGrantPauses.isBackingOff(key) && !isAwaitingResponse;
    }

    function countMissingPermits(quota: CustomerQuota): number {
        return quota.neededPermits() - quota.permitPool.inFlight() - quota.permitPool.countFree();
    }

    /** Applies a reduction before the request is sent, so that the lender may use the difference immediately. */
    function createItem(
        quota: CustomerQuota,
        customer: string,
        lender: string,
        deficit: number,
    ): BorrowItem | undefined {
        const rateGrant = quota.rateBuckets.findBorrowed(lender);
        const held = rateGrant?.fraction ?? 0;
        const fraction = Math.max(deficit > 0 ? minFraction : 0, held + deficit);
        const inUse = quota.permitPool.countBorrowedInUse(lender);
        const permitGrant = quota.permitPool.findBorrowed(lender);
        const usable = permitGrant !== undefined && permitGrant.untilMs > now() ? permitGrant.permits : inUse;
        const permits = Math.max(inUse, usable + countMissingPermits(quota));
        if (fraction < minFraction && permits === 0 && rateGrant === undefined && permitGrant === undefined) {
            return undefined;
        }
        if (rateGrant !== undefined && fraction < held) {
            quota.rateBuckets.setBorrowed(lender, { ...rateGrant, fraction });
        }
        if (permitGrant !== undefined && permits < permitGrant.permits) {
            quota.permitPool.setBorrowed(lender, { ...permitGrant, permits });
        }
        return { customer, fraction: Math.min(1, roundUp(fraction)), permits };
    }

    function planItems(customer: string, quota: CustomerQuota, items: Map<string, BorrowItem[]>): void {
        const deficit = quota.neededFraction() - quota.rateBuckets.fraction();
        // Only missing permits justify an early renewal: buckets that are short refill until the regular one, whereas
        // requests that wait for permits would gain nothing by waiting.
        const isShortOfPermits = countMissingPermits(quota) > 0;
        const lenders = dependencies.listLenders(customer)
            .filter(one => shouldAsk(quota, customer, one, isShortOfPermits));
        const start = Math.floor(dependencies.random() * lenders.length);
        for (let index = 0; index < lenders.length; index += 1) {
            const lender = lenders[(start + index) % lenders.length]!;
            const planned = items.get(lender);
            const isFull = planned === undefined
                ? items.size >= maxLendersPerRound
                : planned.length >= maxItemsPerRequest;
            const item = isFull ? undefined : createItem(quota, customer, lender, deficit);
            if (item !== undefined) {
                items.set(lender, [...planned ?? [], item]);
            }
        }
    }

    function planRequests(): ReadonlyMap<string, BorrowRequest> {
        const items = new Map<string, BorrowItem[]>();
        for (const [customer, quota] of quotas.list()) {
            planItems(customer, quota, items);
        }
        const { instance, incarnation } = dependencies;
        return new Map([...items].map(([lender, list]) => {
            sequence += 1;
            sent.set(lender, { sequence, sentMs: now() });
            return [lender, { instance, incarnation, sequence, items: list }];
        }));
    }

    /**
     * Returns false for a request that is out of order. A new incarnation of the borrower shows that the earlier one is
     * dead, so everything that was lent to that one is released.
     */
    function acceptRequest(req: BorrowRequest): boolean {
        const known = borrowers.get(req.instance);
        if (known !== undefined && known.incarnation === req.incarnation && req.sequence <= known.sequence) {
            return false;
        }
        if (known !== undefined && known.incarnation !== req.incarnation) {
            for (const quota of quotas.list().values()) {
                quota.rateBuckets.setLent(req.instance, undefined);
                quota.permitPool.setLent(req.instance, undefined);
            }
        }
        borrowers.set(req.instance, { incarnation: req.incarnation, sequence: req.sequence });
        return true;
    }

    function lendFraction(
        quota: CustomerQuota,
        borrower: string,
        item: BorrowItem,
    ): Pick<BorrowGrant, "fraction" | "amounts"> {
        const { rateBuckets } = quota;
        const current = rateBuckets.findLent(borrower);
        const kept = Math.min(current?.fraction ?? 0, item.fraction);
        if (current !== undefined) {
            rateBuckets.setLent(borrower, { ...current, fraction: kept });
        }
        const previousFraction = rateBuckets.fraction();
        const spare = Math.min(rateBuckets.lendableFraction(), previousFraction - quota.neededFraction());
        const fraction = spare <= 0 ? Math.min(kept, kept + spare) : roundDown(Math.min(item.fraction, kept + spare));
        if (fraction < kept || fraction < minFraction) {
            return { fraction: 0, amounts: zeroAmounts };
        }
        const movedPart = previousFraction <= 0 ? 0 : (fraction - kept) / previousFraction;
        const amounts = combineAmounts(
            rateBuckets.level(),
            zeroAmounts,
            level => Math.floor(Math.max(0, level) * movedPart),
        );
        rateBuckets.credit(combineAmounts(zeroAmounts, amounts, (zero, amount) => zero - amount));
        rateBuckets.setLent(borrower, { fraction, untilMs: now() + grantLifetimeMs * clockDriftFactor });
        return { fraction, amounts };
    }

    function lendPermits(quota: CustomerQuota, borrower: string, item: BorrowItem): number {
        const { permitPool } = quota;
        const current = permitPool.findLent(borrower);
        const kept = Math.min(current !== undefined && current.untilMs > now() ? current.permits : 0, item.permits);
        const untilMs = now() + (grantLifetimeMs + maxBorrowedRequestMs) * clockDriftFactor;
        permitPool.setLent(borrower, { permits: kept, untilMs });
        const waiting = Math.max(0, quota.neededPermits() - permitPool.inFlight());
        const spare = Math.max(0, Math.min(permitPool.countLendable(), permitPool.countFree() - waiting));
        const permits = Math.min(item.permits, kept + spare);
        permitPool.setLent(borrower, { permits, untilMs });
        return permits;
    }

    function createGrant(borrower: string, item: BorrowItem): BorrowGrant {
        const quota = quotas.find(item.customer);
        if (quota === undefined) {
            return { customer: item.customer, fraction: 0, permits: 0, amounts: zeroAmounts };
        }
        const lent = lendFraction(quota, borrower, item);
        return { customer: item.customer, ...lent, permits: lendPermits(quota, borrower, item) };
    }

    function applyGrant(lender: string, one: BorrowGrant, untilMs: number): void {
        const quota = quotas.find(one.customer);
        if (quota === undefined) {
            return;
        }
        const key = `${one.customer}/${lender}`;
        const isMoreRate = one.fraction > (quota.rateBuckets.findBorrowed(lender)?.fraction ?? 0);
        const isMorePermits = one.permits > (quota.permitPool.findBorrowed(lender)?.permits ?? 0);
        growthPauses.recordResult(key, isMoreRate || isMorePermits);
        emptyGrantPauses.recordResult(key, one.fraction > 0);
        if (one.fraction > 0) {
            quota.rateBuckets.setBorrowed(lender, { fraction: one.fraction, untilMs });
            quota.rateBuckets.credit(one.amounts);
        }
        quota.permitPool.setBorrowed(lender, one.permits === 0 ? undefined : { permits: one.permits, untilMs });
    }

    return {
        planRequests,
        respond: req => {
            if (!acceptRequest(req)) {
                return undefined;
            }
            return { sequence: req.sequence, grants: req.items.map(item => createGrant(req.instance, item)) };
        },
        applyResponse: (lender, response) => {
            const request = sent.get(lender);
            const untilMs = (request?.sentMs ?? 0) + grantLifetimeMs;
            if (request === undefined || request.sequence !== response.sequence || now() >= untilMs) {
                return;
            }
            sent.delete(lender);
            response.grants.forEach(one => applyGrant(lender, one, untilMs));
        },
    };
}
