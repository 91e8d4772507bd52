/**
 * @module
 * One instance's permits for requests in flight of one customer: permits of seats held, less those lent, and permits
 * that were borrowed. A request keeps its permit until it has ended, so a lender counts a lent permit as used until the
 * borrower returns it or until every request on it has surely passed its deadline.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";
import { maxBorrowedFlightMs } from "./limitConstants.js";
import { countLendablePermits, countShardPermits } from "./quotaMath.js";
import type { HeldShard } from "./quotaTypes.js";

/** A permit that a request holds: of a seat, or of the named lender. */
export interface Permit {
    readonly lender: string | undefined;
}

/** Permits that are lent or borrowed until a time. */
export interface PermitGrant {
    readonly permits: number;
    readonly untilMs: number;
}

/** The permits of one customer on one instance. */
export interface PermitPool {
    readonly setShards: (seats: readonly HeldShard[]) => void;
    readonly setLent: (borrower: string, loan: PermitGrant | undefined) => void;
    readonly setBorrowed: (lender: string, loan: PermitGrant | undefined) => void;
    readonly findLent: (borrower: string) => PermitGrant | undefined;
    readonly findBorrowed: (lender: string) => PermitGrant | undefined;
    /** Takes a permit for a request with a deadline; undefined when none is free. */
    readonly tryAcquire: (deadlineMs: number) => Permit | undefined;
    readonly release: (permit: Permit) => void;
    /** Requests that run on permits of one lender. */
    readonly countBorrowedInUse: (lender: string) => number;
    readonly inFlight: () => number;
    /** Time by which every request on the account's own permits, lent ones included, has surely ended. */
    readonly ownInFlightEndMs: () => number;
    /** Permits that are free now, own and borrowed. */
    readonly countFree: () => number;
    /** Permits that could be lent beyond those lent already. */
    readonly countLendable: () => number;
}

/** What an account reads. */
export interface PermitPoolDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly limits: () => CustomerLimits;
}

function sumPermits(loans: ReadonlyMap<string, PermitGrant>, nowMs: number): number {
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
export function createPermitPool(dependencies: PermitPoolDependencies): PermitPool {
    const loansOut = new Map<string, PermitGrant>();
    const loansIn = new Map<string, PermitGrant>();
    const onLender = new Map<string, number>();
    let seats: readonly HeldShard[] = [];
    let onSeats = 0;

    function listValid(deadlineMs: number): readonly HeldShard[] {
        const isShort = deadlineMs - dependencies.now() <= maxBorrowedFlightMs;
        return seats.filter(seat =>
            dependencies.now() < seat.untilMs && deadlineMs <= seat.untilMs && (isShort || !seat.isStandby)
        );
    }

    function countOwn(deadlineMs: number): { readonly permits: number; readonly lendable: number; } {
        const { requestsInFlight } = dependencies.limits();
        let permits = 0;
        let lendable = 0;
        for (const seat of listValid(deadlineMs)) {
            const lendableHere = countLendablePermits(requestsInFlight, seat.index);
            const mayBeLentByPredecessor = seat.isTakenOver && dependencies.now() < seat.inFlightEndMs;
            const neverLent = countShardPermits(requestsInFlight, seat.index) - lendableHere;
            permits += (seat.isStandby ? 0 : neverLent) + (mayBeLentByPredecessor ? 0 : lendableHere);
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
        if (deadlineMs - dependencies.now() > maxBorrowedFlightMs) {
            return undefined;
        }
        return [...loansIn.keys()].find(lender => countFreeOf(lender) > 0);
    }

    function take(deadlineMs: number): Permit | undefined {
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

    function giveBack(permit: Permit): void {
        if (permit.lender === undefined) {
            onSeats -= 1;
            return;
        }
        onLender.set(permit.lender, countOnLender(permit.lender) - 1);
    }

    function setLoan(loans: Map<string, PermitGrant>, peer: string, loan: PermitGrant | undefined): void {
        if (loan === undefined) {
            loans.delete(peer);
            return;
        }
        loans.set(peer, loan);
    }

    return {
        setShards: next => {
            seats = next;
        },
        setLent: (borrower, loan) => setLoan(loansOut, borrower, loan),
        setBorrowed: (lender, loan) => setLoan(loansIn, lender, loan),
        findLent: borrower => loansOut.get(borrower),
        findBorrowed: lender => loansIn.get(lender),
        tryAcquire: take,
        release: giveBack,
        countBorrowedInUse: countOnLender,
        inFlight: () => onSeats + [...onLender.values()].reduce((sum, count) => sum + count, 0),
        ownInFlightEndMs: () => {
            const lent = [...loansOut.values()].filter(loan => loan.permits > 0).map(loan => loan.untilMs);
            const running = onSeats > 0 ? [dependencies.now() + maxBorrowedFlightMs] : [];
            return Math.max(dependencies.now(), ...lent, ...running);
        },
        countFree: () =>
            Math.max(0, countFreeOwn(dependencies.now()))
            + [...loansIn.keys()].reduce((sum, lender) => sum + countFreeOf(lender), 0),
        countLendable: () => {
            const lent = sumPermits(loansOut, dependencies.now());
            const own = countOwn(dependencies.now());
            return Math.max(0, Math.min(own.lendable - lent, own.permits - lent - onSeats));
        },
    };
}
