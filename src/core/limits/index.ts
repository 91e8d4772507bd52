/**
 * @module
 * Customers' limits, quotas and admission control.
 */
export * from "./admissionTypes.js";
export * from "./borrowCodec.js";
export * from "./createAdmission.js";
export * from "./createBorrowing.js";
export * from "./createLedgerReader.js";
export * from "./createLimits.js";
export * from "./createQuotaRegistry.js";
export * from "./createShardHoldings.js";
export * from "./createShardManager.js";
export * from "./createShardStandby.js";
export * from "./foldShardRecord.js";
export * from "./quotaTypes.js";
export * from "./shardSnapshot.js";
