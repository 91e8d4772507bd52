/**
 * @module
 * Processing of requests: attempts, retries and resumed streams.
 */
export * from "./alignRefusal.js";
export * from "./combineOutcomes.js";
export * from "./computeRetryDelay.js";
export * from "./createModelCall.js";
export * from "./createRetryBudget.js";
export * from "./createStreamReaders.js";
export * from "./deriveStreamIdentity.js";
export * from "./hashCall.js";
export * from "./isNonIdempotent.js";
export * from "./parseModelBody.js";
export * from "./readOutputTokens.js";
export * from "./requestTypes.js";
export * from "./retryTypes.js";
export * from "./runModelAttempt.js";
export * from "./runServiceAttempts.js";
export * from "./runServiceCall.js";
export * from "./serveModelRequest.js";
export * from "./serveServiceRequest.js";
export * from "./trackAttempt.js";
