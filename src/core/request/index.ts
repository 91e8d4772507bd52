/**
 * @module
 * The life of a request.
 */
export * from "./deriveStreamIdentity.js";
export * from "./isUnrepeatable.js";
export * from "./parseModelBody.js";
export * from "./requestTypes.js";
export * from "./serveModelRequest.js";
export * from "./serveServiceRequest.js";
