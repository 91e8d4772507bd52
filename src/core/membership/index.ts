/**
 * @module
 * Members of the fleet.
 */
export * from "./memberTypes.js";
export * from "./peerAttachment.js";
