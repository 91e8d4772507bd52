/**
 * @module
 * Error kinds, refusals and their answers.
 */
export * from "./createRefusal.js";
export * from "./errorTable.js";
export * from "./formatRefusal.js";
