/**
 * @module
 * Layout of the loads that heartbeats relay: for each upstream three bytes of id, one of age, one of running requests, and
 * two with four bits of waiting requests, six of pace and six of slowness.
 */

/** Bytes of an upstream's entry. */
export const entryBytes = 7;

/** Bits of an id. */
export const idBits = 24;

/** Unit of an age, in milliseconds. */
export const ageUnitMs = 20;

/** Largest age, in units. */
export const maxAgeUnits = 255;

/** Running requests up to which each number is told apart; above, they are told in steps. */
export const maxExactRunning = 127;

/** Step above it. */
export const runningStep = 16;

/** Largest byte of running requests. */
export const maxRunningUnits = 255;

/** Largest number of waiting requests; more are relayed as this. */
export const maxWaiting = 15;

/** Paces in each octave: they are told apart by their ratio. */
export const pacesPerOctave = 8;

/** Unit of the usual pace, and the largest unit; 0 stands for a pace that is not known. */
export const usualPaceUnits = 32;

/** Largest unit of a pace. */
export const maxPaceUnits = 63;
