/**
 * @module
 * The data that the steps of a placement hand to each other.
 */
import type { UpstreamRecord } from "../../registry/upstreamRecord.js";
import type { CacheCoverage, PromptCacheView } from "../createPromptCacheReader.js";
import type { PlacementCandidate, Prompt } from "../placementTypes.js";

/** An upstream that may run a request, with the version of its weights. */
export interface Choice {
    readonly record: UpstreamRecord;
    readonly weightsVersion: number | undefined;
    /** Whether its weights have been outdated for so long that an answer made on them is worth less. */
    readonly isOutdated: boolean;
}

/** An upstream that may run a request, with the data for its cost. */
export interface Option {
    readonly choice: Choice;
    readonly candidate: PlacementCandidate;
    /** The prompt and its cache coverage on the engine; undefined for a plain service. */
    readonly model?: ModelOption;
}

/** A prompt and its cache coverage on one engine. */
export interface ModelOption {
    readonly prompt: Prompt;
    readonly view: PromptCacheView;
    readonly coverage: CacheCoverage;
}
