/**
 * @module
 * Types of customer quotas and of the messages by which instances lend quota to each other.
 */
import type { CustomerLimits } from "../catalogue/catalogueEntry.js";

/** Amounts in the dimensions that are limited by rate. */
export interface Amounts {
    readonly requests: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** A dimension of a customer's limits. */
export type LimitDimension = keyof Amounts | "requestsInFlight";

/** A quota shard that this instance holds: one of the equal parts of a customer's limits. */
export interface HeldShard {
    /** Index of the shard among the customer's shards, from 0. */
    readonly index: number;
    /** Time at which every grant that an earlier holder made from the shard has certainly expired, in milliseconds. */
    readonly lentEndMs: number;
    /** Time at which every request on a permit that an earlier holder lent has certainly ended, in milliseconds. */
    readonly inFlightEndMs: number;
    /** Time at which the lease on the shard expires, in milliseconds. */
    readonly untilMs: number;
    /** Whether another instance, or an earlier incarnation of this one, held the shard before. */
    readonly isTakenOver: boolean;
    /**
     * Whether this instance holds the shard as a standby for another instance, which may use the part that is never
     * lent when it returns.
     */
    readonly isStandby: boolean;
}

/** The quota of one customer that a borrower asks for. */
export interface BorrowItem {
    readonly customer: string;
    /** Fraction of the customer's limits that the borrower wants to hold from this lender. */
    readonly fraction: number;
    /** Permits that the borrower wants to hold from this lender, including those in use. */
    readonly permits: number;
}

/** A request to borrow quota; the response repeats its `sequence`. */
export interface BorrowRequest {
    readonly instance: string;
    readonly incarnation: string;
    /** Increases with each request of the incarnation. */
    readonly sequence: number;
    readonly items: readonly BorrowItem[];
}

/** The quota that is lent for one customer. */
export interface BorrowGrant {
    readonly customer: string;
    readonly fraction: number;
    readonly permits: number;
    /** Amounts that move from the lender's buckets to the borrower's. */
    readonly amounts: Amounts;
}

/** The response to a {@link BorrowRequest}; its grants are in the order of the request's items. */
export interface BorrowResponse {
    readonly sequence: number;
    readonly grants: readonly BorrowGrant[];
}

/** Use of one customer's quota on one instance. */
export interface QuotaUse {
    readonly customer: string;
    /** Fraction of the limits that the instance may spend now. */
    readonly fraction: number;
    /** Amounts admitted per second, averaged over the demand window. */
    readonly admittedPerSecond: Amounts;
    readonly inFlight: number;
}

/** Returns the limits in force, or undefined for a customer that is not in the catalogue. */
export type FindLimits = (customer: string) => CustomerLimits | undefined;
