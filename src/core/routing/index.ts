/**
 * @module
 * Choice of the upstream of a model request.
 */
export * from "./createCostRouter.js";
export * from "./createFrequencySketch.js";
export * from "./createLoadView.js";
export * from "./createPlacement.js";
export * from "./routeTypes.js";
export * from "./routingPresets.js";
