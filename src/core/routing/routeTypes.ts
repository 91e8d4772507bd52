/**
 * @module
 * Input and result of a routing decision.
 */
import type { Result } from "true-myth/result";
import type { CacheScope } from "../cache/hashBlocks.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";
import type { Refusal } from "../errors/createRefusal.js";
import type { EngineLoad } from "../ports/enginePort.js";

/** One model request as routing sees it. */
export interface RouteRequest {
    readonly scope: CacheScope;
    /** Chain hashes of the prompt, first block first. */
    readonly blocks: readonly bigint[];
    readonly promptTokens: number;
    /** Upstreams that were already tried or must not be used. */
    readonly excluded: ReadonlySet<string>;
}

/** Predicted cost of one candidate, for `reedwardctl why`. */
export interface CandidateCost {
    readonly upstream: string;
    /** Leading blocks that are expected to be cached, according to hints. */
    readonly cachedBlocks: number;
    readonly waitMs: number;
    readonly prefillMs: number;
    /** Weighted sum by which candidates are compared. */
    readonly cost: number;
}

/** The chosen upstream and the candidates that were compared. */
export interface RouteDecision {
    readonly upstream: Upstream;
    readonly cachedBlocks: number;
    readonly candidates: readonly CandidateCost[];
}

/** Chooses the upstream of a model request, or returns why there is none. */
export type ChooseUpstream = (req: RouteRequest) => Result<RouteDecision, Refusal>;

/** Observations on a request that was sent, from the head of its answer. */
export interface RouteFeedback {
    readonly upstream: string;
    readonly req: RouteRequest;
    /** Leading blocks that the engine found in its cache; undefined when it did not state it. */
    readonly cachedBlocks: number | undefined;
    /** Identity of the engine process; undefined when it did not state it. */
    readonly incarnation: string | undefined;
    /** Weights version that the engine ran; undefined when it did not state it. */
    readonly weightsVersion?: string | undefined;
    /** Load report in the answer's head; undefined when there was none. */
    readonly load?: EngineLoad | undefined;
}
