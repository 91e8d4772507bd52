/**
 * @module
 * Instances of the fleet and the messages that they exchange.
 */
export * from "./chooseEntries.js";
export * from "./createFleetView.js";
export * from "./heartbeat.js";
export * from "./peerState.js";
