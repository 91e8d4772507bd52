/**
 * @module
 * Effects of a request and the function that runs them.
 */
export * from "./effectTypes.js";
export * from "./perform.js";
export * from "./runSteps.js";
