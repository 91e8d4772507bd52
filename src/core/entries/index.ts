/**
 * @module
 * The entry list for callers.
 */
export * from "./rankEntries.js";
