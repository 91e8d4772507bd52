/**
 * @module
 * Dependencies and report of a model request.
 */
import type { Refusal } from "../errors/createRefusal.js";
import type { CandidateCost, ChooseUpstream, RouteFeedback } from "../routing/routeTypes.js";
import type { StreamReaders } from "./createStreamReaders.js";
import type { RetryDependencies, RetryReason } from "./retryTypes.js";

/** What a model request needs from the instance. */
export interface ModelRequestDependencies extends RetryDependencies {
    readonly chooseUpstream: ChooseUpstream;
    /** Reports to routing that an attempt at an upstream started (1) or ended (-1). */
    readonly trackInFlight: (upstream: string, change: 1 | -1) => void;
    readonly reportFeedback: (feedback: RouteFeedback) => void;
    readonly readers: StreamReaders;
}

/** How one attempt ended. */
export type AttemptOutcome = "complete" | "failed" | RetryReason;

/** One attempt with the inputs of its routing decision, for `reedwardctl why`. */
export interface AttemptReport {
    readonly upstream: string;
    /** Leading blocks that were expected to be cached there. */
    readonly cachedBlocks: number;
    readonly candidates: readonly CandidateCost[];
    readonly result: AttemptOutcome;
}

/** How a model request ended, for logs, metrics and tests. */
export interface ModelRequestReport {
    readonly upstream: string | undefined;
    readonly cachedTokens: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly attempts: readonly AttemptReport[];
    /** Undefined when the answer was complete. */
    readonly refusal: Refusal | undefined;
}
