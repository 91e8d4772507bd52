/**
 * @module
 * Orders to engines and rollouts of weights versions.
 */
export * from "./findServedVersion.js";
export * from "./hasUnfinishedWork.js";
export * from "./listWatchedEngines.js";
export * from "./planOrders.js";
export * from "./routeToVersion.js";
export * from "./weightsVersions.js";
