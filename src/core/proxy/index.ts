/**
 * @module
 * Requests with opaque content.
 */
export * from "./computePatience.js";
export * from "./createRetryAllowance.js";
export * from "./deriveCacheSalt.js";
export * from "./proxyEffects.js";
export * from "./proxyTypes.js";
export * from "./serveProxyRequest.js";
