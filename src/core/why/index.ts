/**
 * @module
 * How the latest requests ended, for operators.
 */
export * from "./createReportRing.js";
