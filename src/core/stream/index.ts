/**
 * @module
 * Order and completeness of streamed answers.
 */
export * from "./createEventScanner.js";
export * from "./createEventSplitter.js";
