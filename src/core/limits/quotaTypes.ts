/**
 * @module
 * Types of shares and of the messages by which instances lend them.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";

/** Amounts of what the limits bound by rate. */
export interface Amounts {
    readonly requests: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** What a limit bounds. */
export type LimitDimension = keyof Amounts | "requestsInFlight";

/** A seat that this instance holds. */
export interface HeldShard {
    /** Number of the seat, 0 to one less than the number of seats. */
    readonly index: number;
    /** Time from which loans that an earlier holder made of the seat have surely ended, in milliseconds. */
    readonly lentEndMs: number;
    /** Time from which requests on permits that an earlier holder lent have surely ended, in milliseconds. */
    readonly inFlightEndMs: number;
    /** Time at which the seat lapses, in milliseconds. */
    readonly untilMs: number;
    /** Whether an earlier incarnation of this instance or another instance held the seat before. */
    readonly isTakenOver: boolean;
    /** Whether the seat is kept for another instance, which may use the part that is never lent on its return. */
    readonly isStandby: boolean;
}

/** A request for a loan, for one customer. */
export interface BorrowItem {
    readonly customer: string;
    /** Fraction of the customer's limits that the borrower wants to hold from this lender. */
    readonly fraction: number;
    /** Permits that the borrower wants to hold from this lender, those in use included. */
    readonly permits: number;
}

/** One message of loan requests; the answer repeats `sequence`. */
export interface BorrowRequest {
    readonly instance: string;
    readonly incarnation: string;
    /** Rises with each request of the incarnation. */
    readonly sequence: number;
    readonly items: readonly BorrowItem[];
}

/** What is lent for one customer. */
export interface BorrowGrant {
    readonly customer: string;
    readonly fraction: number;
    readonly permits: number;
    /** Amounts that are handed over with the loan. */
    readonly amounts: Amounts;
}

/** The answer to a {@link BorrowRequest}. */
export interface BorrowResponse {
    readonly sequence: number;
    readonly grants: readonly BorrowGrant[];
}

/** Use of one customer's limits on one instance. */
export interface QuotaUse {
    readonly customer: string;
    /** Fraction of the limits that the instance may spend now. */
    readonly fraction: number;
    /** What was admitted a second, averaged over the demand window. */
    readonly admittedPerSecond: Amounts;
    readonly inFlight: number;
}

/** Reads the limits in force. */
export type FindLimits = (customer: string) => CustomerLimits | undefined;
