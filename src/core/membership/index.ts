/**
 * @module
 * Members of the fleet.
 */
export * from "./createMembership.js";
export * from "./memberTypes.js";
export * from "./peerAttachment.js";
export * from "./peerMessages.js";
export * from "./rankMembers.js";
