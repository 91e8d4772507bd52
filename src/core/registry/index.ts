/**
 * @module
 * Registry of upstreams.
 */
export * from "./createUpstreamRegistry.js";
export * from "./upstreamRecord.js";
