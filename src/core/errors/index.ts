/**
 * @module
 * Error kinds, refusals and the error body.
 */
export * from "./createRefusal.js";
export * from "./errorTable.js";
export * from "./formatRefusal.js";
