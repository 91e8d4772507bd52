/**
 * @module
 * Routes, services and customers of the operator's configuration.
 */
export * from "./chooseService.js";
export * from "./indexRoutes.js";
export * from "./rankPriorities.js";
export * from "./routingTable.js";
