/**
 * @module
 * Instances of the fleet and the messages that they exchange.
 */
export * from "./chooseEntries.js";
export * from "./createFleetView.js";
export * from "./createPrefillReporter.js";
export * from "./heartbeat.js";
export * from "./parseFleetMessage.js";
export * from "./peerState.js";
export * from "./prefillReport.js";
