/**
 * @module
 * Checks and splitting of event streams.
 */
export * from "./createEventScanner.js";
export * from "./createEventSequence.js";
export * from "./createEventSplitter.js";
