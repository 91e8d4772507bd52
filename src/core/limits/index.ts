/**
 * @module
 * Customers' limits, shares and admission.
 */
export * from "./admissionTypes.js";
export * from "./createAdmission.js";
export * from "./createLoanDesk.js";
export * from "./createSeatKeeper.js";
export * from "./createShareBook.js";
export * from "./createStaticAdmission.js";
export * from "./foldSeatRecord.js";
export * from "./shareTypes.js";
