/**
 * @module
 * The lease under which one instance at a time sends orders to engines.
 */
export * from "./leaseRecord.js";
export * from "./leaseView.js";
