/**
 * @module
 * Customers' limits and admission.
 */
export * from "./admissionTypes.js";
export * from "./createStaticAdmission.js";
