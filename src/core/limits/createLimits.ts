/**
 * @module
 * The limits of one instance: accounts, seats, loans and admission, connected to messages and the log by functions.
 */
import type { CustomerLimits, Policy } from "../catalogue/catalogueEntry.js";
import type { Clock } from "../time/clock.js";
import { repeatEvery } from "../time/repeatEvery.js";
import { createAdmission, type QuotaAdmission } from "./createAdmission.js";
import { createBorrowing } from "./createBorrowing.js";
import { createQuotaRegistry } from "./createQuotaRegistry.js";
import type { HandedSeat } from "./createSeatCustody.js";
import type { SeatOwner } from "./createSeatHolding.js";
import { createSeatKeeper, type RecordOutcome, type SeatKeeper } from "./createSeatKeeper.js";
import { firstClaimDelayMs, leastLoanSpacingMs, loanRoundMs, seatRoundMs, servedWithinMs } from "./limitConstants.js";
import type { BorrowRequest, BorrowResponse, QuotaUse } from "./quotaTypes.js";

/** The limits in force on one instance. */
export interface Limits {
    readonly admission: QuotaAdmission;
    readonly keeper: SeatKeeper;
    /** Answers a borrower; undefined for a request that is out of order. */
    readonly answerLoan: (req: BorrowRequest) => BorrowResponse | undefined;
    readonly listUse: () => readonly QuotaUse[];
    /** Plans seats soon, out of turn: the fleet's members have changed. */
    readonly reviewSeats: () => void;
    readonly stop: () => void;
}

/** What limits need from the instance. */
export interface LimitsDependencies {
    readonly clock: Clock;
    readonly instance: string;
    /** Identity of this life of the process. */
    readonly incarnation: string;
    readonly findLimits: (customer: string) => CustomerLimits | undefined;
    /** Instances that are believed to be alive, this one included; a wrong count costs utilisation only. */
    readonly countAlive: () => number;
    /** Customers for which this instance is to hold the seats that nobody holds, so that an outage of the log finds them held. */
    readonly listHomeCustomers: () => readonly string[];
    /** Whether an instance is believed to be alive; a wrong answer costs utilisation only. */
    readonly isAlive: (instance: string) => boolean;
    /** Other instances in the order in which they are to keep this one's seats. */
    readonly rankStandbys: () => readonly string[];
    /** Requests that this instance may have at upstreams side by side. */
    readonly countSlots: () => number;
    readonly preset: () => Policy["preset"];
    /** Random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    /** Sends a request to a lender; calls `onAnswer` at most once. */
    readonly sendLoanRequest: (lender: string, req: BorrowRequest, onAnswer: (answer: BorrowResponse) => void) => void;
    /** Whether the log was reached by the last call; no record is planned while it was not. */
    readonly isLogUp: () => boolean;
    /** Appends a record; calls `onSettled` once its outcome is known or will not be known. */
    readonly appendRecord: (record: string, onSettled: (outcome: RecordOutcome) => void) => void;
    /** Asks a standby for the seats that it keeps; calls `onAnswer` at most once. */
    readonly askStandby: (
        standby: string,
        claimant: SeatOwner,
        onAnswer: (seats: readonly HandedSeat[]) => void,
    ) => void;
}

/**
 * Creates the limits of an instance and starts their rounds.
 *
 * @param dependencies - The clock, the catalogue's limits, messages and the log.
 * @returns The limits.
 * @example
 * createLimits(dependencies).admission.admit(req, decide);
 */
export function createLimits(dependencies: LimitsDependencies): Limits {
    const { clock, instance, incarnation } = dependencies;
    const book = createQuotaRegistry({ now: clock.now, findLimits: dependencies.findLimits });
    const demandMs = new Map<string, number>();
    let isStopped = false;
    let loanRoundAtMs = -Infinity;
    let isLoanRoundDue = false;

    function noteDemand(customer: string): void {
        const isNew = !demandMs.has(customer);
        demandMs.set(customer, clock.now());
        if (isNew) {
            clock.after(firstClaimDelayMs, seatRound);
        }
    }

    function listServed(): readonly string[] {
        const served = [...demandMs].filter(([, atMs]) => clock.now() - atMs < servedWithinMs).map(([customer]) =>
            customer
        );
        return [...new Set([...served, ...dependencies.listHomeCustomers()])];
    }

    const keeper = createSeatKeeper({
        now: clock.now,
        instance,
        incarnation,
        listServed,
        countAlive: dependencies.countAlive,
        isAlive: dependencies.isAlive,
        rankStandbys: dependencies.rankStandbys,
        readUseEnds: customer => {
            const account = book.find(customer);
            return {
                loansMs: account?.rateBuckets.lentEndMs() ?? clock.now(),
                flightsMs: account?.permitPool.ownInFlightEndMs() ?? clock.now(),
            };
        },
        canRelease: customer => (book.find(customer)?.permitPool.inFlight() ?? 0) === 0,
        listBorrowers: customer => book.find(customer)?.rateBuckets.listBorrowers() ?? [],
        setSeats: book.setShards,
    });
    const desk = createBorrowing({
        now: clock.now,
        instance,
        incarnation,
        quotas: book,
        listLenders: keeper.listHolders,
        random: dependencies.random,
    });
    const admission = createAdmission({
        clock,
        quotas: book,
        countSlots: dependencies.countSlots,
        preset: dependencies.preset,
        onDemand: noteDemand,
        onShortage: scheduleLoanRound,
    });

    function seatRound(): void {
        askStandbys();
        const record = isStopped || !dependencies.isLogUp() ? undefined : keeper.planRecord();
        if (record !== undefined) {
            dependencies.appendRecord(record, outcome => {
                keeper.noteSettled(outcome);
                admission.reevaluate();
            });
        }
    }

    /** A question that stays without an answer is asked again in the next round. */
    function askStandbys(): void {
        const askedMs = clock.now();
        for (const standby of isStopped ? [] : keeper.custody.listUnasked()) {
            dependencies.askStandby(standby, { instance, incarnation }, seats => {
                keeper.custody.noteAnswer(standby, askedMs, seats);
                admission.reevaluate();
                seatRound();
            });
        }
    }

    function loanRound(): void {
        isLoanRoundDue = false;
        loanRoundAtMs = clock.now();
        for (const [lender, req] of isStopped ? [] : desk.planRequests()) {
            dependencies.sendLoanRequest(lender, req, answer => {
                desk.applyResponse(lender, answer);
                admission.reevaluate();
            });
        }
    }

    /** A round out of turn, so that a request that waits for a loan need not wait for the next regular one. */
    function scheduleLoanRound(): void {
        if (!isLoanRoundDue) {
            isLoanRoundDue = true;
            clock.after(Math.max(0, loanRoundAtMs + leastLoanSpacingMs - clock.now()), loanRound);
        }
    }

    const stops = [
        repeatEvery(clock, loanRoundMs, scheduleLoanRound),
        repeatEvery(clock, seatRoundMs, seatRound),
    ];
    return {
        admission,
        keeper,
        answerLoan: desk.respond,
        listUse: book.listUse,
        reviewSeats: () => void clock.after(firstClaimDelayMs, seatRound),
        stop: () => {
            isStopped = true;
            stops.forEach(stop => stop());
        },
    };
}
