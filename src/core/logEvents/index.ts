/**
 * @module
 * Numbered log events.
 */
export * from "./logEventTable.js";
export * from "./logInternalFailure.js";
