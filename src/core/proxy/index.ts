/**
 * @module
 * Proxying of requests with opaque content: deadlines, retries and effects.
 */
export * from "./answerEnd.js";
export * from "./classifyStatus.js";
export * from "./computeCallerDeadlines.js";
export * from "./createFleetRetryBudget.js";
export * from "./deriveCacheSalt.js";
export * from "./findIncompleteReason.js";
export * from "./judgeAnswerEnd.js";
export * from "./judgeAnswerHead.js";
export * from "./proxyEffects.js";
export * from "./proxyTypes.js";
export * from "./serveProxyRequest.js";
