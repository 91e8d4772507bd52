/**
 * @module
 * Choice of the upstream of a model request.
 */
export * from "./createRendezvousRouter.js";
export * from "./routeTypes.js";
