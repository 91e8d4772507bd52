/**
 * @module
 * Membership of the fleet: failure detection and gossip.
 */
export * from "./createMembership.js";
export * from "./memberTypes.js";
export * from "./peerAttachment.js";
export * from "./peerMessages.js";
export * from "./rankMembers.js";
