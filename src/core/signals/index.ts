/**
 * @module
 * What upstreams state in their answers about the requests that they want.
 */
export * from "./createSignalExchange.js";
export * from "./createSignalView.js";
export * from "./rateLimitState.js";
export * from "./signalReport.js";
export * from "./upstreamSignal.js";
