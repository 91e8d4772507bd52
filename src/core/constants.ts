/**
 * @module
 * Constants that several modules share, with their units.
 */

/** Average number of prompt characters per token. */
export const charactersPerToken = 4;

/** Tokens of one cache block. */
export const blockTokens = 64;

/** Characters of one cache block. */
export const blockCharacters = blockTokens * charactersPerToken;

/** Milliseconds within which all instances stop sending new work to a draining upstream. */
export const drainSignalBoundMs = 3_000;

/** Milliseconds within which an accepted change is in force on all instances. */
export const configurationBoundMs = 4_000;

/** Milliseconds in one second. */
export const millisecondsPerSecond = 1_000;

/** Time without an answer after which a call to the store has failed, in milliseconds; a long poll's wait comes on top. */
export const storeAnswerTimeoutMs = 1_000;

/** Bytes that the system may hold for a connection while it is not read. They count toward the memory of the process. */
export const unreadConnectionBytes = 65_536;
