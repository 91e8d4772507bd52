/**
 * @module
 * Stateless base choice: rendezvous on the prefix with bounded load.
 */
import { err, ok, type Result } from "true-myth/result";
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { CandidateCost, ChooseUpstream, RouteDecision, RouteRequest } from "./routeTypes.js";

/** What the base router reads at each decision. */
export interface RendezvousRouterDependencies {
    /** Upstreams in service for a model, leaving ones left off. */
    readonly listCandidates: (model: string) => readonly Upstream[];
    /** Requests of this instance in flight at an upstream. */
    readonly countInFlight: (upstream: string) => number;
}

/** A candidate may hold this multiple of the mean load before the next one is used. */
const boundedLoadFactor = 1.25;

/** Blocks that decide the placement: the levels above the case share them. */
const placementBlocks = 4;

function findPlacementKey(req: RouteRequest): bigint {
    const last = Math.min(placementBlocks, req.blocks.length) - 1;
    return req.blocks[last] ?? hashText(req.scope.customer);
}

function compareScores(left: bigint, right: bigint): number {
    return left > right ? -1 : 1;
}

/**
 * Creates the stateless base router.
 *
 * @param dependencies - Reads of candidates and load.
 * @returns A function that chooses an upstream; it refuses with `noUpstream` when no candidate is left.
 * @example
 * const chooseUpstream = createRendezvousRouter({ listCandidates, countInFlight });
 */
export function createRendezvousRouter(dependencies: RendezvousRouterDependencies): ChooseUpstream {
    function choose(req: RouteRequest): Result<RouteDecision, Refusal> {
        const candidates = dependencies.listCandidates(req.scope.model).filter(one => !req.excluded.has(one.id));
        if (candidates.length === 0) {
            return err(createRefusal("noUpstream", `no upstream is left for model "${req.scope.model}"`));
        }
        const key = findPlacementKey(req);
        const ranked = [...candidates].sort((left, right) =>
            compareScores(scoreRendezvous(key, left.id), scoreRendezvous(key, right.id))
        );
        const total = ranked.reduce((sum, one) => sum + dependencies.countInFlight(one.id), 0);
        const bound = Math.ceil((boundedLoadFactor * (total + 1)) / ranked.length);
        const upstream = ranked.find(one => dependencies.countInFlight(one.id) < bound) ?? ranked[0]!;
        return ok({ upstream, cachedBlocks: 0, candidates: ranked.map(one => toCost(one, dependencies)) });
    }
    return choose;
}

function toCost(upstream: Upstream, dependencies: RendezvousRouterDependencies): CandidateCost {
    const inFlight = dependencies.countInFlight(upstream.id);
    return { upstream: upstream.id, cachedBlocks: 0, waitMs: 0, prefillMs: 0, cost: inFlight };
}
