/**
 * @module
 * Layout of the ages that heartbeats carry: for each instance four bytes of its description's id and one byte of age.
 */

/** Bytes of an instance's entry. */
export const entryBytes = 5;

/** Unit of an age, in milliseconds. */
export const ageUnitMs = 20;

/** Largest age that an entry holds, in units. */
export const maxAgeUnits = 255;
