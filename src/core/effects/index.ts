/**
 * @module
 * Effects of a request and their runner.
 */
export * from "./effectTypes.js";
export * from "./perform.js";
export * from "./runSteps.js";
