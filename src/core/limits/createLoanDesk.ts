/**
 * @module
 * Lending of shares between instances. A loan is counted by the lender from the grant, and used by the borrower only
 * until a term after it *sent* the request, so that the borrower's use ends first whatever the messages' delay.
 */
import { createKeyedBackoff } from "./createKeyedBackoff.js";
import type { ShareAccount, ShareBook } from "./createShareBook.js";
import { clockDriftFactor, grantLifetimeMs, grantRenewalThresholdMs, maxBorrowedRequestMs } from "./limitConstants.js";
import { combineAmounts, noAmounts } from "./shareMath.js";
import type { LoanAnswer, LoanAsk, LoanGrant, LoanRequest } from "./shareTypes.js";

/** The lending of one instance. */
export interface LoanDesk {
    /** Requests to be sent now, by the name of the lender. */
    readonly planRequests: () => ReadonlyMap<string, LoanRequest>;
    /** Answers a borrower; undefined for a request that is out of order. */
    readonly answer: (req: LoanRequest) => LoanAnswer | undefined;
    /** Takes a lender's answer. */
    readonly receive: (lender: string, answer: LoanAnswer) => void;
}

/** What lending needs. */
export interface LoanDeskDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly instance: string;
    readonly incarnation: string;
    readonly book: ShareBook;
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
export function createLoanDesk(dependencies: LoanDeskDependencies): LoanDesk {
    const { now, book } = dependencies;
    const sent = new Map<string, Sent>();
    const borrowers = new Map<string, Borrower>();
    const emptyPauses = createKeyedBackoff(now);
    const growthPauses = createKeyedBackoff(now);
    let sequence = 0;

    /** A loan is renewed in time, and earlier when more is needed than is held and the lender last gave more. */
    function isWorthAsking(account: ShareAccount, customer: string, lender: string, isShort: boolean): boolean {
        const key = `${customer}/${lender}`;
        const loan = account.rate.findLoanIn(lender);
        const restMs = loan === undefined ? 0 : loan.untilMs - now();
        const isAwaited = now() - (sent.get(lender)?.sentMs ?? -Infinity) < answerTimeoutMs;
        const isDue = restMs < grantRenewalThresholdMs || (isShort && !growthPauses.isBackingOff(key));
        return isDue && !emptyPauses.isBackingOff(key) && !isAwaited;
    }

    function countMissingPermits(account: ShareAccount): number {
        return account.neededPermits() - account.flights.inFlight() - account.flights.free();
    }

    /** Reduces what is borrowed before the request leaves, so that the lender may count on it at once. */
    function createAsk(account: ShareAccount, customer: string, lender: string, deficit: number): LoanAsk | undefined {
        const loan = account.rate.findLoanIn(lender);
        const held = loan?.fraction ?? 0;
        const fraction = Math.max(deficit > 0 ? leastFraction : 0, held + deficit);
        const onLender = account.flights.countOnLender(lender);
        const flightLoan = account.flights.findLoanIn(lender);
        const usable = flightLoan !== undefined && flightLoan.untilMs > now() ? flightLoan.permits : onLender;
        const permits = Math.max(onLender, usable + countMissingPermits(account));
        if (fraction < leastFraction && permits === 0 && loan === undefined && flightLoan === undefined) {
            return undefined;
        }
        if (loan !== undefined && fraction < held) {
            account.rate.setLoanIn(lender, { ...loan, fraction });
        }
        if (flightLoan !== undefined && permits < flightLoan.permits) {
            account.flights.setLoanIn(lender, { ...flightLoan, permits });
        }
        return { customer, fraction: Math.min(1, roundUp(fraction)), permits };
    }

    function planAsks(customer: string, account: ShareAccount, asks: Map<string, LoanAsk[]>): void {
        const deficit = account.neededFraction() - account.rate.fraction();
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

    function planRequests(): ReadonlyMap<string, LoanRequest> {
        const asks = new Map<string, LoanAsk[]>();
        for (const [customer, account] of book.list()) {
            planAsks(customer, account, asks);
        }
        const { instance, incarnation } = dependencies;
        return new Map([...asks].map(([lender, list]) => {
            sequence += 1;
            sent.set(lender, { sequence, sentMs: now() });
            return [lender, { instance, incarnation, sequence, asks: list }];
        }));
    }

    /** An earlier incarnation of the borrower is dead; what it had borrowed is free. */
    function admitBorrower(req: LoanRequest): boolean {
        const known = borrowers.get(req.instance);
        if (known !== undefined && known.incarnation === req.incarnation && req.sequence <= known.sequence) {
            return false;
        }
        if (known !== undefined && known.incarnation !== req.incarnation) {
            for (const account of book.list().values()) {
                account.rate.setLoanOut(req.instance, undefined);
                account.flights.setLoanOut(req.instance, undefined);
            }
        }
        borrowers.set(req.instance, { incarnation: req.incarnation, sequence: req.sequence });
        return true;
    }

    function lendFraction(
        account: ShareAccount,
        borrower: string,
        ask: LoanAsk,
    ): Pick<LoanGrant, "fraction" | "amounts"> {
        const { rate } = account;
        const current = rate.findLoanOut(borrower);
        const kept = Math.min(current?.fraction ?? 0, ask.fraction);
        if (current !== undefined) {
            rate.setLoanOut(borrower, { ...current, fraction: kept });
        }
        const before = rate.fraction();
        const spare = Math.min(rate.lendableRest(), before - account.neededFraction());
        const fraction = spare <= 0 ? Math.min(kept, kept + spare) : roundDown(Math.min(ask.fraction, kept + spare));
        if (fraction < kept || fraction < leastFraction) {
            return { fraction: 0, amounts: noAmounts };
        }
        const part = before <= 0 ? 0 : (fraction - kept) / before;
        const amounts = combineAmounts(rate.level(), noAmounts, level => Math.floor(Math.max(0, level) * part));
        rate.credit(combineAmounts(noAmounts, amounts, (zero, amount) => zero - amount));
        rate.setLoanOut(borrower, { fraction, untilMs: now() + grantLifetimeMs * clockDriftFactor });
        return { fraction, amounts };
    }

    function lendPermits(account: ShareAccount, borrower: string, ask: LoanAsk): number {
        const { flights } = account;
        const current = flights.findLoanOut(borrower);
        const kept = Math.min(current !== undefined && current.untilMs > now() ? current.permits : 0, ask.permits);
        const untilMs = now() + (grantLifetimeMs + maxBorrowedRequestMs) * clockDriftFactor;
        flights.setLoanOut(borrower, { permits: kept, untilMs });
        const waiting = Math.max(0, account.neededPermits() - flights.inFlight());
        const spare = Math.max(0, Math.min(flights.lendableRest(), flights.free() - waiting));
        const permits = Math.min(ask.permits, kept + spare);
        flights.setLoanOut(borrower, { permits, untilMs });
        return permits;
    }

    function grant(borrower: string, ask: LoanAsk): LoanGrant {
        const account = book.find(ask.customer);
        if (account === undefined) {
            return { customer: ask.customer, fraction: 0, permits: 0, amounts: noAmounts };
        }
        const lent = lendFraction(account, borrower, ask);
        return { customer: ask.customer, ...lent, permits: lendPermits(account, borrower, ask) };
    }

    function takeGrant(lender: string, one: LoanGrant, untilMs: number): void {
        const account = book.find(one.customer);
        if (account === undefined) {
            return;
        }
        const key = `${one.customer}/${lender}`;
        const isMoreRate = one.fraction > (account.rate.findLoanIn(lender)?.fraction ?? 0);
        const isMorePermits = one.permits > (account.flights.findLoanIn(lender)?.permits ?? 0);
        growthPauses.recordResult(key, isMoreRate || isMorePermits);
        emptyPauses.recordResult(key, one.fraction > 0);
        if (one.fraction > 0) {
            account.rate.setLoanIn(lender, { fraction: one.fraction, untilMs });
            account.rate.credit(one.amounts);
        }
        account.flights.setLoanIn(lender, one.permits === 0 ? undefined : { permits: one.permits, untilMs });
    }

    return {
        planRequests,
        answer: req => {
            if (!admitBorrower(req)) {
                return undefined;
            }
            return { sequence: req.sequence, grants: req.asks.map(ask => grant(req.instance, ask)) };
        },
        receive: (lender, answer) => {
            const awaited = sent.get(lender);
            const untilMs = (awaited?.sentMs ?? 0) + grantLifetimeMs;
            if (awaited === undefined || awaited.sequence !== answer.sequence || now() >= untilMs) {
                return;
            }
            sent.delete(lender);
            answer.grants.forEach(one => takeGrant(lender, one, untilMs));
        },
    };
}
