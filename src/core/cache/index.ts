/**
 * @module
 * Prefix identity and the view of what engines have cached.
 */
export * from "./createCacheView.js";
export * from "./hashBlocks.js";
