/**
 * @module
 * How long an answer takes to start.
 */

/** Time from the placement of a request to the start of its answer, in milliseconds: the prefill of ten thousand tokens. */
export const minStartMs = 150;
