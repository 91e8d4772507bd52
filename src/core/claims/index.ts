/**
 * @module
 * Claims that make a call run at most once.
 */
export * from "./claimRecord.js";
export * from "./claimTypes.js";
export * from "./createClaimLedger.js";
export * from "./createClaimManager.js";
export * from "./createRecordAppender.js";
export * from "./parseKeyIssueTime.js";
