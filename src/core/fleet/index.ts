/**
 * @module
 * Instances of the fleet and what they tell each other.
 */
export * from "./chooseEntries.js";
export * from "./createFleetView.js";
export * from "./heartbeat.js";
export * from "./peerState.js";
