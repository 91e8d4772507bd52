/**
 * @module
 * Instances of the fleet and the messages that they exchange.
 */
export * from "./chooseEntries.js";
export * from "./createFleetView.js";
export * from "./createLoadingReporter.js";
export * from "./createLoadingView.js";
export * from "./createPrefillReporter.js";
export * from "./decodeMemberAges.js";
export * from "./deriveDescriptionId.js";
export * from "./encodeMemberAges.js";
export * from "./findLoadBytes.js";
export * from "./heartbeat.js";
export * from "./loadingReport.js";
export * from "./parseFleetMessage.js";
export * from "./peerState.js";
export * from "./planHeartbeats.js";
export * from "./prefillReport.js";
