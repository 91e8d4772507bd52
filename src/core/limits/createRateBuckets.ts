/**
 * @module
 * One instance's token buckets for one customer: seats held, loans given and loans taken decide the rate and the burst.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { millisecondsPerSecond } from "../constants.js";
import { clockDriftFactor } from "./limitConstants.js";
import { combineAmounts, getRates, sumShards, zeroAmounts } from "./quotaMath.js";
import type { Amounts, HeldShard } from "./quotaTypes.js";

/** A part of the limits that was lent until a time. */
export interface RateGrant {
    readonly fraction: number;
    readonly untilMs: number;
}

/** The buckets of one customer on one instance. */
export interface RateBuckets {
    /** Brings the buckets to the present; every other call does so first. */
    readonly refill: () => void;
    readonly setShards: (seats: readonly HeldShard[]) => void;
    /** Sets, renews or (undefined) ends the loan to a borrower. */
    readonly setLent: (borrower: string, loan: RateGrant | undefined) => void;
    /** Sets, renews or (undefined) ends the loan from a lender. */
    readonly setBorrowed: (lender: string, loan: RateGrant | undefined) => void;
    readonly findLent: (borrower: string) => RateGrant | undefined;
    readonly findBorrowed: (lender: string) => RateGrant | undefined;
    /** Time by which every loan to a borrower has ended, in milliseconds. */
    readonly lentEndMs: () => number;
    /** Borrowers whose loans still run. */
    readonly listBorrowers: () => readonly string[];
    /** Fraction of the limits that may be spent now. */
    readonly fraction: () => number;
    /** Fraction of the limits that could be lent beyond what is lent already. */
    readonly lendableFraction: () => number;
    readonly level: () => Amounts;
    /** Largest level that the fraction held now allows. */
    readonly capacity: () => Amounts;
    /** Adds to the buckets, up to their capacity; negative amounts are taken out. */
    readonly credit: (amounts: Amounts) => void;
}

/** What an account reads. */
export interface RateBucketsDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly limits: () => CustomerLimits;
}

function sumLoans(loans: ReadonlyMap<string, RateGrant>, nowMs: number): number {
    let sum = 0;
    for (const loan of loans.values()) {
        sum += nowMs < loan.untilMs ? loan.fraction : 0;
    }
    return sum;
}

function dropEnded(loans: Map<string, RateGrant>, nowMs: number): void {
    for (const [peer, loan] of loans) {
        if (loan.untilMs <= nowMs) {
            loans.delete(peer);
        }
    }
}

/**
 * Creates an account with empty buckets. Refill is integrated over every time at which a seat or a loan begins or ends,
 * and clipped there, so that no instance ever counts a part of the limits that another one may spend.
 *
 * @param dependencies - The clock and the limits in force.
 * @returns The account.
 * @example
 * createRateAccount({ now: clock.now, limits: () => customer.limits }).level().requests; // 0
 */
export function createRateBuckets(dependencies: RateBucketsDependencies): RateBuckets {
    const loansOut = new Map<string, RateGrant>();
    const loansIn = new Map<string, RateGrant>();
    let seats: readonly HeldShard[] = [];
    let level = zeroAmounts;
    let advancedMs = dependencies.now();

    function computeFraction(atMs: number): number {
        return Math.max(0, sumShards(seats, atMs).fraction - sumLoans(loansOut, atMs) + sumLoans(loansIn, atMs));
    }

    function computeCapacity(atMs: number): Amounts {
        const { burstSeconds } = dependencies.limits();
        const scale = computeFraction(atMs) * burstSeconds;
        return combineAmounts(getRates(dependencies.limits()), zeroAmounts, rate => rate * scale);
    }

    function clip(atMs: number): void {
        level = combineAmounts(level, computeCapacity(atMs), Math.min);
    }

    function listChanges(untilMs: number): readonly number[] {
        const times = [
            ...seats.flatMap(seat => [seat.untilMs, seat.lentEndMs]),
            ...[...loansOut.values(), ...loansIn.values()].map(loan => loan.untilMs),
        ];
        return [
            ...times.filter(time => time > advancedMs && time < untilMs).sort((left, right) => left - right),
            untilMs,
        ];
    }

    function advance(): void {
        const nowMs = dependencies.now();
        if (nowMs <= advancedMs) {
            return;
        }
        const rates = getRates(dependencies.limits());
        for (const changeMs of listChanges(nowMs)) {
            const seconds = (changeMs - advancedMs) / millisecondsPerSecond / clockDriftFactor;
            const gain = computeFraction(advancedMs) * seconds;
            level = combineAmounts(level, rates, (have, rate) => have + rate * gain);
            clip(advancedMs);
            advancedMs = changeMs;
            clip(changeMs);
        }
        dropEnded(loansOut, nowMs);
        dropEnded(loansIn, nowMs);
    }

    function setLoan(loans: Map<string, RateGrant>, peer: string, loan: RateGrant | undefined): void {
        advance();
        if (loan === undefined || loan.fraction <= 0) {
            loans.delete(peer);
        }
        else {
            loans.set(peer, loan);
        }
        clip(advancedMs);
    }

    return {
        refill: advance,
        setShards: next => {
            advance();
            seats = next;
            clip(advancedMs);
        },
        setLent: (borrower, loan) => setLoan(loansOut, borrower, loan),
        setBorrowed: (lender, loan) => setLoan(loansIn, lender, loan),
        findLent: borrower => loansOut.get(borrower),
        findBorrowed: lender => loansIn.get(lender),
        lentEndMs: () => Math.max(dependencies.now(), ...[...loansOut.values()].map(loan => loan.untilMs)),
        listBorrowers: () => {
            advance();
            return [...loansOut.keys()];
        },
        fraction: () => {
            advance();
            return computeFraction(advancedMs);
        },
        lendableFraction: () => {
            advance();
            return Math.max(0, sumShards(seats, advancedMs).lendable - sumLoans(loansOut, advancedMs));
        },
        level: () => {
            advance();
            return level;
        },
        capacity: () => {
            advance();
            return computeCapacity(advancedMs);
        },
        credit: amounts => {
            advance();
            level = combineAmounts(level, amounts, (have, more) => have + more);
            clip(advancedMs);
        },
    };
}
