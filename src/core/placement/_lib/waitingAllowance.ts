/**
 * @module
 * How far an upstream that states its load is filled.
 */

/** Requests beyond its slots that an upstream may have: one that waits keeps it busy until its next statement arrives. */
export const waitingAllowance = 1;
