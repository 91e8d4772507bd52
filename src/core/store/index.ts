/**
 * @module
 * The platform's store as seen by an instance.
 */
export * from "./createStoreEra.js";
