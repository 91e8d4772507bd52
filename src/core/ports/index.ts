/**
 * @module
 * Ports to the systems outside the process.
 */
export * from "./enginePort.js";
export * from "./logPort.js";
export * from "./platformPort.js";
export * from "./portFailure.js";
