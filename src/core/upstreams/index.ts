/**
 * @module
 * Draining upstreams.
 */
export * from "./createDrainTracker.js";
