/**
 * @module
 * Chooses the upstream with the lowest predicted cost (wait plus prefill of uncached tokens) among few candidates.
 */
import { err, ok, type Result } from "true-myth/result";
import type { CacheView, Holder } from "../cache/createCacheView.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";
import { blockTokens, millisecondsPerSecond } from "../constants.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import { countHomes } from "../homes/countHomes.js";
import { chooseReplica } from "./_lib/chooseReplica.js";
import { computeCaseDepth, deriveCaseKey, deriveSharedKey } from "./_lib/placementKeys.js";
import type { FrequencySketch } from "./createFrequencySketch.js";
import type { LoadView, PendingSend } from "./createLoadView.js";
import { createPlacement, type Placement } from "./createPlacement.js";
import type { CandidateCost, ChooseUpstream, RouteDecision, RouteFeedback, RouteRequest } from "./routeTypes.js";
import type { RoutingPreset } from "./routingPresets.js";

/** Number of instances over which requests are spread. */
export interface RequestSpread {
    /** Instances in the fleet. */
    readonly instances: number;
    /** Instances that share the requests of one customer. */
    readonly instancesPerCustomer: number;
}

/** Dependencies of {@link createCostRouter}. */
export interface CostRouterDependencies {
    /** Upstreams in service for a model; the same array as long as nothing changed. */
    readonly listCandidates: (model: string) => readonly Upstream[];
    readonly cache: CacheView;
    readonly load: LoadView;
    /** Prefill work by prompt prefix. */
    readonly frequencies: FrequencySketch;
    /** Returns the number of instances over which requests are spread. */
    readonly readSpread: () => RequestSpread;
    /** Called with the blocks that an upstream is about to cache, so that they can be reported to other instances. */
    readonly onPlaced: (req: RouteRequest, upstream: string, blocks: readonly bigint[]) => void;
    /** Returns the active preset. */
    readonly preset: () => RoutingPreset;
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/** Chooses upstreams and learns from their answers. */
export interface CostRouter {
    readonly chooseUpstream: ChooseUpstream;
    readonly reportFeedback: (feedback: RouteFeedback) => void;
}

interface Fleet {
    readonly placement: Placement;
    readonly byId: ReadonlyMap<string, Upstream>;
}

interface Candidate {
    readonly upstream: Upstream;
    readonly holder: Holder | undefined;
    /** Whether rendezvous hashing prefers it for this case, so that every instance sends the case there. */
    readonly isPreferred: boolean;
}

interface SentRequest {
    readonly pending: PendingSend;
    readonly holder: Holder | undefined;
    readonly isPreferred: boolean;
}

/** Maximum number of replicas of a spread prefix that are considered. */
const maxReplicaCandidates = 4;

/** Upstreams that are sampled at random as further candidates, so that an idle one is found. */
const randomCandidates = 2;

/**
 * Initial estimate of the share of a prompt's unhinted blocks that its preferred upstream has cached. With a low
 * estimate, instances would scatter the requests of a case, and the resulting cache misses would confirm it.
 */
const initialUnhintedHitRate = 0.8;

/** Weight of a new observation in the moving average of the unhinted hit rate. */
const unhintedHitRateWeight = 0.02;

/** Blocks by which a hint may overestimate and still count as correct: block sampling causes errors of this size. */
const holderToleranceBlocks = 8;

function toMs(tokens: number, upstream: Upstream): number {
    return (Math.max(0, tokens) * millisecondsPerSecond) / upstream.prefillTokensPerSecond;
}

/**
 * Creates the router.
 *
 * @param dependencies - Cache view, load view and frequency sketch, the preset, clock and random numbers.
 * @returns The router; it refuses with `noUpstream` when no candidate is left.
 * @example
 * const router = createCostRouter(dependencies);
 * router.chooseUpstream(req).map(decision => decision.upstream.id);
 */
export function createCostRouter(dependencies: CostRouterDependencies): CostRouter {
    const { cache, load, frequencies } = dependencies;
    const fleets = new WeakMap<readonly Upstream[], Fleet>();
    const sends = new WeakMap<readonly bigint[], SentRequest>();
    // Average share of unhinted blocks that the preferred upstream has cached: other instances send to it as well.
    let unhintedHitRate = initialUnhintedHitRate;

    function findFleet(upstreams: readonly Upstream[]): Fleet {
        let fleet = fleets.get(upstreams);
        if (fleet === undefined) {
            fleet = { placement: createPlacement(upstreams), byId: new Map(upstreams.map(one => [one.id, one])) };
            fleets.set(upstreams, fleet);
        }
        return fleet;
    }

    function countReplicas(key: number, upstreams: number, nowMs: number): number {
        const { prefixLoadBound, maxSpreadFactor } = dependencies.preset();
        const { instances, instancesPerCustomer } = dependencies.readSpread();
        const fleetLoad = (frequencies.ratePerSecond(key, nowMs) * instancesPerCustomer) / millisecondsPerSecond;
        const fairShare = (frequencies.computeShare(key) * upstreams * instancesPerCustomer) / instances;
        return countHomes({ neededUpstreams: fleetLoad / prefixLoadBound, fairShare, maxSpreadFactor }, upstreams);
    }

    function collectCandidates(req: RouteRequest, upstreams: readonly Upstream[], nowMs: number): readonly Candidate[] {
        const preset = dependencies.preset();
        const fleet = findFleet(upstreams);
        const holders = new Map(cache.findHolders(req.blocks, nowMs).map(holder => [holder.upstream, holder]));
        const found = new Map<string, Candidate>();
        function add(upstream: Upstream | undefined, isPreferred: boolean): void {
            if (upstream !== undefined && !req.excluded.has(upstream.id) && !found.has(upstream.id)) {
                found.set(upstream.id, { upstream, holder: holders.get(upstream.id), isPreferred });
            }
        }
        const key = deriveSharedKey(req, preset.placementBlocks);
        const replicas = countReplicas(key, upstreams.length, nowMs);
        const preferred = chooseReplica(deriveCaseKey(req), replicas);
        add(fleet.placement.pick(key, preferred, req.excluded), true);
        for (let step = 1; step < Math.min(replicas, maxReplicaCandidates); step += 1) {
            add(fleet.placement.pick(key, (preferred + step) % replicas, req.excluded), false);
        }
        for (const holder of holders.keys()) {
            add(fleet.byId.get(holder), false);
        }
        for (let sample = 0; sample < randomCandidates; sample += 1) {
            add(upstreams[Math.floor(dependencies.random() * upstreams.length)], false);
        }
        return [...found.values()];
    }

    function estimateCost(req: RouteRequest, candidate: Candidate, nowMs: number): CandidateCost {
        const preset = dependencies.preset();
        const { upstream, holder, isPreferred } = candidate;
        const cachedBlocks = holder?.cachedBlocks ?? 0;
        const waitMs = load.predictWaitMs(upstream, nowMs);
        const expectedBlocks = cachedBlocks + (isPreferred ? unhintedHitRate * (req.blocks.length - cachedBlocks) : 0);
        const prefillMs = toMs(req.promptTokens - expectedBlocks * blockTokens, upstream);
        const cost = preset.waitWeight * waitMs + preset.prefillWeight * prefillMs;
        return { upstream: upstream.id, cachedBlocks, waitMs, prefillMs, cost };
    }

    /** Announces the new blocks, and one known block of each level so that other instances renew its hint. */
    function announcePlaced(req: RouteRequest, upstream: string, knownBlocks: number): void {
        const renewed = [dependencies.preset().placementBlocks, computeCaseDepth(req.blocks.length)]
            .filter(depth => depth > 0 && depth <= knownBlocks)
            .map(depth => req.blocks[depth - 1]!);
        dependencies.onPlaced(req, upstream, [...renewed, ...req.blocks.slice(knownBlocks)]);
    }

    function chooseUpstream(req: RouteRequest): Result<RouteDecision, Refusal> {
        const upstreams = dependencies.listCandidates(req.scope.model);
        const nowMs = dependencies.now();
        const shortlist = upstreams.length === 0 ? [] : collectCandidates(req, upstreams, nowMs);
        if (shortlist.length === 0) {
            return err(createRefusal("noUpstream", `no upstream is left for model "${req.scope.model}"`));
        }
        const candidates = shortlist.map(candidate => estimateCost(req, candidate, nowMs));
        let best = 0;
        for (let index = 1; index < candidates.length; index += 1) {
            if (candidates[index]!.cost < candidates[best]!.cost) {
                best = index;
            }
        }
        const { upstream, holder, isPreferred } = shortlist[best]!;
        const pending = load.recordSend(upstream, candidates[best]!.prefillMs, nowMs);
        sends.set(req.blocks, { pending, holder, isPreferred });
        cache.recordCached(upstream.id, req.blocks, nowMs);
        announcePlaced(req, upstream.id, holder?.cachedBlocks ?? 0);
        return ok({ upstream, cachedBlocks: holder?.cachedBlocks ?? 0, candidates });
    }

    function recordPreferredHit(promptBlocks: number, hintedBlocks: number, cachedBlocks: number): void {
        if (hintedBlocks < promptBlocks) {
            const share = Math.max(0, cachedBlocks - hintedBlocks) / (promptBlocks - hintedBlocks);
            unhintedHitRate += unhintedHitRateWeight * (share - unhintedHitRate);
        }
    }

    function reportFeedback(feedback: RouteFeedback): void {
        const nowMs = dependencies.now();
        if (feedback.incarnation !== undefined) {
            cache.recordIncarnation(feedback.upstream, feedback.incarnation);
        }
        cache.recordCached(feedback.upstream, feedback.req.blocks, nowMs);
        const sent = sends.get(feedback.req.blocks);
        if (sent === undefined || sent.pending.upstream.id !== feedback.upstream) {
            return;
        }
        sends.delete(feedback.req.blocks);
        if (feedback.cachedBlocks === undefined) {
            return;
        }
        const { upstream } = sent.pending;
        const prefillMs = toMs(feedback.req.promptTokens - feedback.cachedBlocks * blockTokens, upstream);
        load.recordAnswerStart(sent.pending, prefillMs, toMs(feedback.req.promptTokens, upstream), nowMs);
        frequencies.add(deriveSharedKey(feedback.req, dependencies.preset().placementBlocks), prefillMs, nowMs);
        if (feedback.load !== undefined) {
            load.recordReport(upstream, feedback.load, nowMs);
        }
        if (sent.isPreferred) {
            recordPreferredHit(feedback.req.blocks.length, sent.holder?.cachedBlocks ?? 0, feedback.cachedBlocks);
        }
        if (sent.holder !== undefined) {
            const isRight = feedback.cachedBlocks + holderToleranceBlocks >= sent.holder.cachedBlocks;
            cache.recordHintOutcome(sent.holder, isRight);
        }
    }

    return { chooseUpstream, reportFeedback };
}
