/**
 * @module
 * Constants of shares and queues, with their units.
 */

/** Seats that each customer's limits are divided into. */
export const seatsPerCustomer = 8;

/** Milliseconds for which a recorded seat is held without renewal. */
export const seatTermMs = 7_200_000;

/** Milliseconds between renewals of a held seat. */
export const seatRenewalMs = 1_800_000;

/** Milliseconds between renewals that name other standbys: longer than the restart of a process takes. */
export const standbyRenewalMs = 10_000;

/** Milliseconds after its start for which an instance waits at the most for its seats before it is ready. */
export const maxSeatSettlingMs = 2_000;

/** Milliseconds for which an instance's choice of home customers is kept. */
export const homeCustomersLifetimeMs = 10_000;

/** Milliseconds for which a loan between instances runs. */
export const loanTermMs = 3_000;

/** Milliseconds of a loan's rest below which the borrower asks again. */
export const loanRenewalMs = 1_500;

/** Milliseconds between the rounds in which an instance asks for loans. */
export const loanRoundMs = 500;

/** Factor by which the clocks of two instances may run apart. */
export const clockDriftFactor = 1.001;

/** Part of a seat's rates that may be lent, 0 to 1. */
export const lendablePart = 0.95;

/** Part of a seat's requests in flight that may be lent, 0 to 1. */
export const lendableFlightPart = 0.5;

/** Longest time to its deadline of a request that runs on a borrowed permit, in milliseconds. */
export const maxBorrowedFlightMs = 120_000;

/** Longest time that a request waits for its customer's limits, in milliseconds. */
export const maxLimitWaitMs = 2_000;

/** Most requests of one customer that wait on an instance. */
export const maxQueueLength = 256;

/** Most tokens that wait on an instance for each request that may run side by side there. */
export const maxQueuedTokensPerSlot = 32_768;

/** Milliseconds over which the demand of a customer is averaged. */
export const demandWindowMs = 1_000;

/** Milliseconds between two rounds of loan requests at the least. */
export const leastLoanSpacingMs = 200;

/** Milliseconds between the rounds in which an instance plans its seats. */
export const seatRoundMs = 500;

/** Milliseconds for which a customer counts as served after its last request. */
export const servedWithinMs = 10_000;

/** Milliseconds from a customer's first request to the claim of a seat, so that one record carries several claims. */
export const firstClaimDelayMs = 20;
