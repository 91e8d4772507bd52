/**
 * @module
 * Constants that several subjects share, with their units.
 */

/** Characters of a prompt that one token stands for, on average. */
export const charactersPerToken = 4;

/** Tokens of one cache block. */
export const blockTokens = 64;

/** Characters of one cache block. */
export const blockCharacters = blockTokens * charactersPerToken;

/** Milliseconds after which an upstream that leaves gets no new work. */
export const drainSignalBoundMs = 3_000;

/** Milliseconds within which an accepted change is in force everywhere. */
export const configurationBoundMs = 4_000;

/** Milliseconds in one second. */
export const millisecondsPerSecond = 1_000;
