/**
 * @module
 * Exports of the load of upstreams.
 */
export * from "./createLoadExchange.js";
export * from "./createOwnRequests.js";
export * from "./createPaceMemory.js";
export * from "./createServiceMeans.js";
export * from "./createUpstreamLoads.js";
export * from "./decodeLoads.js";
export * from "./describeLoadView.js";
export * from "./drawRequests.js";
export * from "./encodeLoads.js";
export * from "./loadTypes.js";
export * from "./predictRequests.js";
export * from "./retryAsLoadsFade.js";
