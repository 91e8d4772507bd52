/**
 * @module
 * Times of quotas, in milliseconds.
 */

/** Time for which an instance's share stays with the owner to which it is pledged. */
export const pledgeTermMs = 4_000;

/** Interval at which pledges are renewed: what a lost renewal leaves of the term reaches to the next one. */
export const renewIntervalMs = 1_250;

/** Time without an answer to pledges after which an owner is passed over; a renewal may be lost. */
export const ownerSilenceMs = 2_000;

/** Time for which an owner that did not answer is passed over. */
export const passOverMs = 4_000;

/** Time after which an ask without an answer counts as lost. */
export const askTimeoutMs = 100;

/** Time for which an owner that did not answer an ask is asked last. */
export const askAvoidMs = 500;

/** Time for which a refusal of an owner is taken as still valid. */
export const hintLifetimeMs = 100;
