/**
 * @module
 * One instance's permits for requests in flight of one customer: permits of seats held, less those lent, and permits
 * that were borrowed. A request keeps its permit until it has ended, so a lender counts a lent permit as used until the
 * borrower returns it or until every request on it has surely passed its deadline.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { maxBorrowedRequestMs } from "./limitConstants.js";
import { countLendablePermits, countSeatPermits } from "./shareMath.js";
import type { HeldSeat } from "./shareTypes.js";

/** A permit that a request holds: of a seat, or of the named lender. */
export interface FlightPermit {
    readonly lender: string | undefined;
}

/** Permits that are lent or borrowed until a time. */
export interface FlightLoan {
    readonly permits: number;
    readonly untilMs: number;
}

/** The permits of one customer on one instance. */
export interface FlightAccount {
    readonly setSeats: (seats: readonly HeldSeat[]) => void;
    readonly setLoanOut: (borrower: string, loan: FlightLoan | undefined) => void;
    readonly setLoanIn: (lender: string, loan: FlightLoan | undefined) => void;
    readonly findLoanOut: (borrower: string) => FlightLoan | undefined;
    readonly findLoanIn: (lender: string) => FlightLoan | undefined;
    /** Takes a permit for a request with a deadline; undefined when none is free. */
    readonly take: (deadlineMs: number) => FlightPermit | undefined;
    readonly giveBack: (permit: FlightPermit) => void;
    /** Requests that run on permits of one lender. */
    readonly countOnLender: (lender: string) => number;
    readonly inFlight: () => number;
    /** Time by which every request on the account's own permits, lent ones included, has surely ended. */
    readonly ownFlightsEndMs: () => number;
    /** Permits that are free now, own and borrowed. */
    readonly free: () => number;
    /** Permits that could be lent beyond those lent already. */
    readonly lendableRest: () => number;
}

/** What an account reads. */
export interface FlightAccountDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly limits: () => CustomerLimits;
}

function sumPermits(loans: ReadonlyMap<string, FlightLoan>, nowMs: number): number {
    let sum = 0;
    for (const loan of loans.values()) {
        sum += nowMs < loan.untilMs ? loan.permits : 0;
    }
    return sum;
}

/**
 * Creates an account without seats.
 *
 * @param dependencies - The clock and the limits in force.
 * @returns The account.
 * @example
 * createFlightAccount({ now: clock.now, limits: () => customer.limits }).free(); // 0
 */
export function createFlightAccount(dependencies: FlightAccountDependencies): FlightAccount {
    const loansOut = new Map<string, FlightLoan>();
    const loansIn = new Map<string, FlightLoan>();
    const onLender = new Map<string, number>();
    let seats: readonly HeldSeat[] = [];
    let onSeats = 0;

    function listValid(deadlineMs: number): readonly HeldSeat[] {
        const isShort = deadlineMs - dependencies.now() <= maxBorrowedRequestMs;
        return seats.filter(seat =>
            dependencies.now() < seat.untilMs && deadlineMs <= seat.untilMs && (isShort || !seat.isKeptForAnother)
        );
    }

    function countOwn(deadlineMs: number): { readonly permits: number; readonly lendable: number; } {
        const { requestsInFlight } = dependencies.limits();
        let permits = 0;
        let lendable = 0;
        for (const seat of listValid(deadlineMs)) {
            const lendableHere = countLendablePermits(requestsInFlight, seat.index);
            const mayBeLentByPredecessor = seat.isTakenOver && dependencies.now() < seat.flightsEndedMs;
            const neverLent = countSeatPermits(requestsInFlight, seat.index) - lendableHere;
            permits += (seat.isKeptForAnother ? 0 : neverLent) + (mayBeLentByPredecessor ? 0 : lendableHere);
            lendable += mayBeLentByPredecessor ? 0 : lendableHere;
        }
        return { permits, lendable };
    }

    const countFreeOwn = (deadlineMs: number) =>
        countOwn(deadlineMs).permits - onSeats - sumPermits(loansOut, dependencies.now());

    const countOnLender = (lender: string) => onLender.get(lender) ?? 0;

    function countFreeOf(lender: string): number {
        const loan = loansIn.get(lender);
        const isRunning = loan !== undefined && dependencies.now() < loan.untilMs;
        return isRunning ? Math.max(0, loan.permits - countOnLender(lender)) : 0;
    }

    function findLender(deadlineMs: number): string | undefined {
        if (deadlineMs - dependencies.now() > maxBorrowedRequestMs) {
            return undefined;
        }
        return [...loansIn.keys()].find(lender => countFreeOf(lender) > 0);
    }

    function take(deadlineMs: number): FlightPermit | undefined {
        if (countFreeOwn(deadlineMs) > 0) {
            onSeats += 1;
            return { lender: undefined };
        }
        const lender = findLender(deadlineMs);
        if (lender === undefined) {
            return undefined;
        }
        onLender.set(lender, countOnLender(lender) + 1);
        return { lender };
    }

    function giveBack(permit: FlightPermit): void {
        if (permit.lender === undefined) {
            onSeats -= 1;
            return;
        }
        onLender.set(permit.lender, countOnLender(permit.lender) - 1);
    }

    function setLoan(loans: Map<string, FlightLoan>, peer: string, loan: FlightLoan | undefined): void {
        if (loan === undefined) {
            loans.delete(peer);
            return;
        }
        loans.set(peer, loan);
    }

    return {
        setSeats: next => {
            seats = next;
        },
        setLoanOut: (borrower, loan) => setLoan(loansOut, borrower, loan),
        setLoanIn: (lender, loan) => setLoan(loansIn, lender, loan),
        findLoanOut: borrower => loansOut.get(borrower),
        findLoanIn: lender => loansIn.get(lender),
        take,
        giveBack,
        countOnLender,
        inFlight: () => onSeats + [...onLender.values()].reduce((sum, count) => sum + count, 0),
        ownFlightsEndMs: () => {
            const lent = [...loansOut.values()].filter(loan => loan.permits > 0).map(loan => loan.untilMs);
            const running = onSeats > 0 ? [dependencies.now() + maxBorrowedRequestMs] : [];
            return Math.max(dependencies.now(), ...lent, ...running);
        },
        free: () =>
            Math.max(0, countFreeOwn(dependencies.now()))
            + [...loansIn.keys()].reduce((sum, lender) => sum + countFreeOf(lender), 0),
        lendableRest: () => {
            const lent = sumPermits(loansOut, dependencies.now());
            const own = countOwn(dependencies.now());
            return Math.max(0, Math.min(own.lendable - lent, own.permits - lent - onSeats));
        },
    };
}
