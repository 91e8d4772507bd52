/**
 * @module
 * Quotas of customers over all instances.
 */
export * from "./createCustomerQuotas.js";
export * from "./createInstanceCensus.js";
export * from "./quotaMessage.js";
export * from "./quotaTypes.js";
