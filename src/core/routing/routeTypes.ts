/**
 * @module
 * What a routing decision takes and gives.
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
    /** Upstreams that were tried already or must not be used. */
    readonly excluded: ReadonlySet<string>;
}

/** What one candidate was expected to cost, for `reedwardctl why`. */
export interface CandidateCost {
    readonly upstream: string;
    /** Leading blocks that are believed to be cached. */
    readonly cachedBlocks: number;
    readonly waitMs: number;
    readonly prefillMs: number;
    /** Weighted sum that was compared. */
    readonly cost: number;
}

/** The chosen upstream and the grounds. */
export interface RouteDecision {
    readonly upstream: Upstream;
    readonly cachedBlocks: number;
    readonly candidates: readonly CandidateCost[];
}

/** Chooses the upstream of a model request, or says why there is none. */
export type ChooseUpstream = (req: RouteRequest) => Result<RouteDecision, Refusal>;

/** What routing learns from a request that was sent. */
export interface RouteFeedback {
    readonly upstream: string;
    readonly req: RouteRequest;
    /** Leading blocks that the engine found in its cache; undefined when it did not say. */
    readonly cachedBlocks: number | undefined;
    /** Identity of the engine process; undefined when it did not say. */
    readonly incarnation: string | undefined;
    /** Weights version that the engine ran; undefined when it did not say. */
    readonly weightsVersion?: string | undefined;
    /** Load report that rode on the answer; undefined when there was none. */
    readonly load?: EngineLoad | undefined;
}
