/**
 * @module
 * Reports and time lines that explain a request to operators.
 */
export * from "./createReportBuffer.js";
export * from "./describeLogLine.js";
export * from "./explainRequest.js";
export * from "./parseLogLine.js";
