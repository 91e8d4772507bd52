/**
 * @module
 * Ranking of the entries for callers.
 */
export * from "./rankEntries.js";
