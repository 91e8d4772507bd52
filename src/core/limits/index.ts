/**
 * @module
 * Customers' limits, shares and admission.
 */
export * from "./admissionTypes.js";
export * from "./createAdmission.js";
export * from "./createLedgerReader.js";
export * from "./createLimits.js";
export * from "./createLoanDesk.js";
export * from "./createSeatCustody.js";
export * from "./createSeatHolding.js";
export * from "./createSeatKeeper.js";
export * from "./createShareBook.js";
export * from "./foldSeatRecord.js";
export * from "./loanCodec.js";
export * from "./seatSnapshot.js";
export * from "./shareTypes.js";
