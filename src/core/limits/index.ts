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
export * from "./createSeatCustody.js";
export * from "./createSeatHolding.js";
export * from "./createSeatKeeper.js";
export * from "./foldSeatRecord.js";
export * from "./quotaTypes.js";
export * from "./seatSnapshot.js";
