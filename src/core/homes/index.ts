/**
 * @module
 * Homes of shared prompts: the engines and the store at which all instances let the requests of a prompt meet.
 */
export * from "./chooseHomeStore.js";
export * from "./computeHomeBonus.js";
export * from "./computeStoreReachMs.js";
export * from "./countHomes.js";
export * from "./createEngineRanking.js";
export * from "./createPromptDemand.js";
export * from "./createPromptHomes.js";
export * from "./createStoreReach.js";
export * from "./createWorkMeter.js";
export * from "./stepHomeCount.js";
