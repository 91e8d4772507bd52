/**
 * @module
 * Permits for upstreams that state a rate limit for all instances together.
 */
export * from "./createUpstreamPermits.js";
export * from "./permitMessage.js";
