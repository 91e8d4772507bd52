/**
 * @module
 * Lending of shares between instances. A loan is counted by the lender from the grant, and used by the borrower only
 * until a term after it *sent* the request, so that the borrower's use ends first whatever the messages' delay.
 */
import { createPauses } from "./createPauses.js";
import type { CustomerQuota, QuotaRegistry } from "./createQuotaRegistry.js";
import { clockDriftFactor, loanRenewalMs, loanTermMs, maxBorrowedFlightMs } from "./limitConstants.js";
import { combineAmounts, zeroAmounts } from "./quotaMath.js";
import type { BorrowGrant, BorrowItem, BorrowRequest, BorrowResponse } from "./quotaTypes.js";

/** The lending of one instance. */
export interface Borrowing {
    /** Requests to be sent now, by the name of the lender. */
    readonly planRequests: () => ReadonlyMap<string, BorrowRequest>;
    /** Answers a borrower; undefined for a request that is out of order. */
    readonly respond: (req: BorrowRequest) => BorrowResponse | undefined;
    /** Takes a lender's answer. */
    readonly applyResponse: (lender: string, answer: BorrowResponse) => void;
}

/** What lending needs. */
export interface BorrowingDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly instance: string;
    readonly incarnation: string;
    readonly quotas: QuotaRegistry;
    /** Other instances that hold seats of a customer. */
    readonly listLenders: (customer: string) => readonly string[];
    /** Random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

interface Sent {
    readonly sequence: number;
    readonly sentMs: number;
}

interface Borrower {
    readonly incarnation: string;
    readonly sequence: number;
}

/** Lenders that are asked in one round at the most. */
const maxLendersPerRound = 4;

/** Customers that one request names at the most. */
const maxAsksPerRequest = 8;

/** Fraction of the limits below which a deficit is not worth a message. */
const leastFraction = 0.002;

/** Milliseconds for which a lender that has not answered yet is not asked again. */
const answerTimeoutMs = 1_000;

/** Fractions are sent in whole ten-thousandths. */
const fractionScale = 10_000;

const roundDown = (fraction: number) => Math.floor(fraction * fractionScale) / fractionScale;
const roundUp = (fraction: number) => Math.ceil(fraction * fractionScale) / fractionScale;

/**
 * Creates the lending of an instance.
 *
 * @param dependencies - The accounts and the other instances.
 * @returns The desk.
 * @example
 * createLoanDesk(dependencies).planRequests().size; // 0
 */
export function createBorrowing(dependencies: BorrowingDependencies): Borrowing {
    const { now, quotas: book } = dependencies;
    const sent = new Map<string, Sent>();
    const borrowers = new Map<string, Borrower>();
    const emptyPauses = createPauses(now);
    const growthPauses = createPauses(now);
    let sequence = 0;

    /** A loan is renewed in time, and earlier when more is needed than is held and the lender last gave more. */
    function isWorthAsking(account: CustomerQuota, customer: string, lender: string, isShort: boolean): boolean {
        const key = `${customer}/${lender}`;
        const loan = account.rateBuckets.findBorrowed(lender);
        const restMs = loan === undefined ? 0 : loan.untilMs - now();
        const isAwaited = now() - (sent.get(lender)?.sentMs ?? -Infinity) < answerTimeoutMs;
        const isDue = restMs < loanRenewalMs || (isShort && !growthPauses.isPaused(key));
        return isDue && !emptyPauses.isPaused(key) && !isAwaited;
    }

    function countMissingPermits(account: CustomerQuota): number {
        return account.neededPermits() - account.permitPool.inFlight() - account.permitPool.countFree();
    }

    /** Reduces what is borrowed before the request leaves, so that the lender may count on it at once. */
    function createAsk(
        account: CustomerQuota,
        customer: string,
        lender: string,
        deficit: number,
    ): BorrowItem | undefined {
        const loan = account.rateBuckets.findBorrowed(lender);
        const held = loan?.fraction ?? 0;
        const fraction = Math.max(deficit > 0 ? leastFraction : 0, held + deficit);
        const onLender = account.permitPool.countBorrowedInUse(lender);
        const flightLoan = account.permitPool.findBorrowed(lender);
        const usable = flightLoan !== undefined && flightLoan.untilMs > now() ? flightLoan.permits : onLender;
        const permits = Math.max(onLender, usable + countMissingPermits(account));
        if (fraction < leastFraction && permits === 0 && loan === undefined && flightLoan === undefined) {
            return undefined;
        }
        if (loan !== undefined && fraction < held) {
            account.rateBuckets.setBorrowed(lender, { ...loan, fraction });
        }
        if (flightLoan !== undefined && permits < flightLoan.permits) {
            account.permitPool.setBorrowed(lender, { ...flightLoan, permits });
        }
        return { customer, fraction: Math.min(1, roundUp(fraction)), permits };
    }

    function planAsks(customer: string, account: CustomerQuota, asks: Map<string, BorrowItem[]>): void {
        const deficit = account.neededFraction() - account.rateBuckets.fraction();
        // A short rate refills until the renewal; requests that wait for permits would only wait.
        const isShort = countMissingPermits(account) > 0;
        const lenders = dependencies.listLenders(customer)
            .filter(one => isWorthAsking(account, customer, one, isShort));
        const start = Math.floor(dependencies.random() * lenders.length);
        for (let index = 0; index < lenders.length; index += 1) {
            const lender = lenders[(start + index) % lenders.length]!;
            const already = asks.get(lender);
            const isFull = already === undefined
                ? asks.size >= maxLendersPerRound
                : already.length >= maxAsksPerRequest;
            const ask = isFull ? undefined : createAsk(account, customer, lender, deficit);
            if (ask !== undefined) {
                asks.set(lender, [...already ?? [], ask]);
            }
        }
    }

    function planRequests(): ReadonlyMap<string, BorrowRequest> {
        const asks = new Map<string, BorrowItem[]>();
        for (const [customer, account] of book.list()) {
            planAsks(customer, account, asks);
        }
        const { instance, incarnation } = dependencies;
        return new Map([...asks].map(([lender, list]) => {
            sequence += 1;
            sent.set(lender, { sequence, sentMs: now() });
            return [lender, { instance, incarnation, sequence, items: list }];
        }));
    }

    /** An earlier incarnation of the borrower is dead; what it had borrowed is free. */
    function admitBorrower(req: BorrowRequest): boolean {
        const known = borrowers.get(req.instance);
        if (known !== undefined && known.incarnation === req.incarnation && req.sequence <= known.sequence) {
            return false;
        }
        if (known !== undefined && known.incarnation !== req.incarnation) {
            for (const account of book.list().values()) {
                account.rateBuckets.setLent(req.instance, undefined);
                account.permitPool.setLent(req.instance, undefined);
            }
        }
        borrowers.set(req.instance, { incarnation: req.incarnation, sequence: req.sequence });
        return true;
    }

    function lendFraction(
        account: CustomerQuota,
        borrower: string,
        ask: BorrowItem,
    ): Pick<BorrowGrant, "fraction" | "amounts"> {
        const { rateBuckets: rate } = account;
        const current = rate.findLent(borrower);
        const kept = Math.min(current?.fraction ?? 0, ask.fraction);
        if (current !== undefined) {
            rate.setLent(borrower, { ...current, fraction: kept });
        }
        const before = rate.fraction();
        const spare = Math.min(rate.lendableFraction(), before - account.neededFraction());
        const fraction = spare <= 0 ? Math.min(kept, kept + spare) : roundDown(Math.min(ask.fraction, kept + spare));
        if (fraction < kept || fraction < leastFraction) {
            return { fraction: 0, amounts: zeroAmounts };
        }
        const part = before <= 0 ? 0 : (fraction - kept) / before;
        const amounts = combineAmounts(rate.level(), zeroAmounts, level => Math.floor(Math.max(0, level) * part));
        rate.credit(combineAmounts(zeroAmounts, amounts, (zero, amount) => zero - amount));
        rate.setLent(borrower, { fraction, untilMs: now() + loanTermMs * clockDriftFactor });
        return { fraction, amounts };
    }

    function lendPermits(account: CustomerQuota, borrower: string, ask: BorrowItem): number {
        const { permitPool: flights } = account;
        const current = flights.findLent(borrower);
        const kept = Math.min(current !== undefined && current.untilMs > now() ? current.permits : 0, ask.permits);
        const untilMs = now() + (loanTermMs + maxBorrowedFlightMs) * clockDriftFactor;
        flights.setLent(borrower, { permits: kept, untilMs });
        const waiting = Math.max(0, account.neededPermits() - flights.inFlight());
        const spare = Math.max(0, Math.min(flights.countLendable(), flights.countFree() - waiting));
        const permits = Math.min(ask.permits, kept + spare);
        flights.setLent(borrower, { permits, untilMs });
        return permits;
    }

    function grant(borrower: string, ask: BorrowItem): BorrowGrant {
        const account = book.find(ask.customer);
        if (account === undefined) {
            return { customer: ask.customer, fraction: 0, permits: 0, amounts: zeroAmounts };
        }
        const lent = lendFraction(account, borrower, ask);
        return { customer: ask.customer, ...lent, permits: lendPermits(account, borrower, ask) };
    }

    function takeGrant(lender: string, one: BorrowGrant, untilMs: number): void {
        const account = book.find(one.customer);
        if (account === undefined) {
            return;
        }
        const key = `${one.customer}/${lender}`;
        const isMoreRate = one.fraction > (account.rateBuckets.findBorrowed(lender)?.fraction ?? 0);
        const isMorePermits = one.permits > (account.permitPool.findBorrowed(lender)?.permits ?? 0);
        growthPauses.note(key, isMoreRate || isMorePermits);
        emptyPauses.note(key, one.fraction > 0);
        if (one.fraction > 0) {
            account.rateBuckets.setBorrowed(lender, { fraction: one.fraction, untilMs });
            account.rateBuckets.credit(one.amounts);
        }
        account.permitPool.setBorrowed(lender, one.permits === 0 ? undefined : { permits: one.permits, untilMs });
    }

    return {
        planRequests,
        respond: req => {
            if (!admitBorrower(req)) {
                return undefined;
            }
            return { sequence: req.sequence, grants: req.items.map(ask => grant(req.instance, ask)) };
        },
        applyResponse: (lender, answer) => {
            const awaited = sent.get(lender);
            const untilMs = (awaited?.sentMs ?? 0) + loanTermMs;
            if (awaited === undefined || awaited.sequence !== answer.sequence || now() >= untilMs) {
                return;
            }
            sent.delete(lender);
            answer.grants.forEach(one => takeGrant(lender, one, untilMs));
        },
    };
}
