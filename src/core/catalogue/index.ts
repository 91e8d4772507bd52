/**
 * @module
 * The catalogue: entries, changes and their fold.
 */
export * from "./catalogue.js";
export * from "./catalogueEntry.js";
export * from "./foldRecord.js";
