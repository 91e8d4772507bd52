/**
 * @module
 * Prefix hashes and the view of the engines' prefix caches.
 */
export * from "./applyHintDigest.js";
export * from "./createCacheView.js";
export * from "./createEventBackoff.js";
export * from "./createHintDigest.js";
export * from "./createHintExchange.js";
export * from "./findHintPeers.js";
export * from "./hashBlocks.js";
