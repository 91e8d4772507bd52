/**
 * @module
 * The list of upstreams.
 */
export * from "./createUpstreamRegistry.js";
export * from "./upstreamRecord.js";
