/**
 * @module
 * How the latest requests ended, for operators.
 */
export * from "./createReportRing.js";
export * from "./describeLogLine.js";
export * from "./explainRequest.js";
export * from "./parseLogLine.js";
