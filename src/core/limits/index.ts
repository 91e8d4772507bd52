/**
 * @module
 * Customers' limits, shares and admission.
 */
export * from "./admissionTypes.js";
export * from "./createAdmission.js";
export * from "./createLedgerReader.js";
export * from "./createLimits.js";
export * from "./createLoanDesk.js";
export * from "./createShardHoldings.js";
export * from "./createShardManager.js";
export * from "./createShardStandby.js";
export * from "./createShareBook.js";
export * from "./foldShardRecord.js";
export * from "./loanCodec.js";
export * from "./shardSnapshot.js";
export * from "./shareTypes.js";
