/**
 * @module
 * Placement of requests on upstreams.
 */
export * from "./choosePlacement.js";
export * from "./choosePreferredEngine.js";
export * from "./computeUrgentReserve.js";
export * from "./createChoiceLister.js";
export * from "./createFeedAssignment.js";
export * from "./createHealthView.js";
export * from "./createOptionReader.js";
export * from "./createPartView.js";
export * from "./createPlacementQueues.js";
export * from "./createPlacer.js";
export * from "./createPromptCacheReader.js";
export * from "./createQueueProgress.js";
export * from "./createServiceDemand.js";
export * from "./createSourceChooser.js";
export * from "./createUpstreamUseTracker.js";
export * from "./createUrgencyLevels.js";
export * from "./createUrgentReserves.js";
export * from "./createWaitQueue.js";
export * from "./describeCandidateLoad.js";
export * from "./isFeedReader.js";
export * from "./placementTypes.js";
