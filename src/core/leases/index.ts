/**
 * @module
 * The lease under which orders are given to engines.
 */
export * from "./leaseRecord.js";
export * from "./leaseView.js";
