/**
 * @module
 * Upstreams that leave.
 */
export * from "./createUpstreamLeaves.js";
