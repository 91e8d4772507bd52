/**
 * @module
 * Weights of models and their rollout.
 */
export * from "./assumeTargetTime.js";
export * from "./computeBeginLimitMs.js";
export * from "./computeOutdatedLimitMs.js";
export * from "./createBeginTimes.js";
export * from "./createRolloutLease.js";
export * from "./createUnbegunSends.js";
export * from "./createWeightsView.js";
export * from "./findSentWeights.js";
export * from "./leaseRecord.js";
export * from "./loadWeights.js";
export * from "./planLoads.js";
export * from "./toFencingNumber.js";
