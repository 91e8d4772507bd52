/**
 * @module
 * The platform's store as seen by an instance.
 */
export * from "./computeLongPollMs.js";
export * from "./createStoreEra.js";
export * from "./planStoreReads.js";
