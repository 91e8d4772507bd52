/**
 * @module
 * Layout of the loads that heartbeats relay: for each upstream four bytes of id, one of age, two of running requests, and
 * one each of waiting requests, pace and slowness.
 */

/** Bytes of an upstream's entry. */
export const entryBytes = 10;

/** Unit of an age, in milliseconds. */
export const ageUnitMs = 20;

/** Largest age, in units. */
export const maxAgeUnits = 255;

/** Largest number of running requests; a larger one is relayed as this. */
export const maxRunning = 65_535;

/** Largest number of waiting requests. */
export const maxWaiting = 255;

/** Unit of a pace; 0 stands for one that is not known. */
export const paceUnit = 0.02;

/** Largest pace, in units. */
export const maxPaceUnits = 255;
