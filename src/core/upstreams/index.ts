/**
 * @module
 * Upstreams that leave.
 */
export * from "./createDrainTracker.js";
