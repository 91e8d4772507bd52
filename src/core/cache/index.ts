/**
 * @module
 * Prefix identity and the view of what engines have cached.
 */
export * from "./applyHintDigest.js";
export * from "./createCacheView.js";
export * from "./createEventBackoff.js";
export * from "./createHintDigest.js";
export * from "./createHintExchange.js";
export * from "./findHintPeers.js";
export * from "./hashBlocks.js";
