/**
 * @module
 * Numbered log events.
 */
export * from "./logEventTable.js";
