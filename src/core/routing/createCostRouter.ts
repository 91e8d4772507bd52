/**
 * @module
 * Choice of the upstream by predicted cost: wait, and prefill of what is not cached, over few candidates.
 */
import { err, ok, type Result } from "true-myth/result";
import type { CacheView, Holder } from "../cache/createCacheView.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";
import { blockTokens, millisecondsPerSecond } from "../constants.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import { chooseReplica } from "./_lib/chooseReplica.js";
import { computeCaseDepth, deriveCaseKey, deriveSharedKey } from "./_lib/placementKeys.js";
import type { FrequencySketch } from "./createFrequencySketch.js";
import type { LoadView, PendingSend } from "./createLoadView.js";
import { createPlacement, type Placement } from "./createPlacement.js";
import type { CandidateCost, ChooseUpstream, RouteDecision, RouteFeedback, RouteRequest } from "./routeTypes.js";
import type { RoutingPreset } from "./routingPresets.js";

/** Over how many instances requests are spread. */
export interface RequestSpread {
    /** Instances of the fleet. */
    readonly instances: number;
    /** Instances that share the requests of one customer. */
    readonly instancesPerCustomer: number;
}

/** What the router reads and keeps. */
export interface CostRouterDependencies {
    /** Upstreams in service for a model; the same array as long as nothing changed. */
    readonly listCandidates: (model: string) => readonly Upstream[];
    readonly cache: CacheView;
    readonly load: LoadView;
    readonly frequencies: FrequencySketch;
    /** Over how many instances requests are spread. */
    readonly readSpread: () => RequestSpread;
    /** Told which blocks an upstream is about to hold, so that other instances can be told as well. */
    readonly onPlaced: (req: RouteRequest, upstream: string, blocks: readonly bigint[]) => void;
    /** The preset in force. */
    readonly preset: () => RoutingPreset;
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    /** A random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/** The router: the choice, and what it learns from answers. */
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
    /** Whether it is where every instance would send this case. */
    readonly isPreferred: boolean;
}

interface SentRequest {
    readonly pending: PendingSend;
    readonly holder: Holder | undefined;
    readonly isPreferred: boolean;
}

/** Choices of a spread prefix that are weighed. */
const maxReplicaCandidates = 4;

/** Upstreams that are weighed by chance, so that a free one is found. */
const randomCandidates = 2;

/**
 * Share of a prompt's unhinted blocks that its home is believed to hold at first. Instances that begin in doubt would
 * scatter a case, and then find their doubt confirmed.
 */
const initialUnhintedHitRate = 0.8;

/** Weight of a newer answer against the ones before, in the share that homes hold without a hint. */
const unhintedHitRateWeight = 0.02;

/** Blocks by which a hint may be wrong and still count as right; sampling leaves this much open. */
const holderToleranceBlocks = 8;

function toMs(tokens: number, upstream: Upstream): number {
    return (Math.max(0, tokens) * millisecondsPerSecond) / upstream.prefillTokensPerSecond;
}

/**
 * Creates the router.
 *
 * @param dependencies - Views of cache, load and heat, the preset, clock and randomness.
 * @returns The router; it refuses with `noUpstream` when no candidate is left.
 * @example
 * const router = createCostRouter({ listCandidates, cache, load, frequencies, readSpread, onPlaced, preset, now, random });
 * router.chooseUpstream(req).map(decision => decision.upstream.id);
 */
export function createCostRouter(dependencies: CostRouterDependencies): CostRouter {
    const { cache, load, frequencies } = dependencies;
    const fleets = new WeakMap<readonly Upstream[], Fleet>();
    const sends = new WeakMap<readonly bigint[], SentRequest>();
    // Share of a prompt's unhinted blocks that its home turns out to hold: other instances send there as well.
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
        // Spreading costs hits and so adds work: the fair share of the upstreams keeps it from feeding on itself.
        const fairShare = (frequencies.computeShare(key) * upstreams * instancesPerCustomer) / instances;
        const needed = Math.ceil(Math.min(fleetLoad / prefixLoadBound, fairShare * maxSpreadFactor));
        return Math.max(1, Math.min(upstreams, needed));
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

    /** Tells the new blocks, and one of each level that was there before, so that its hint stays young elsewhere. */
    function announcePlaced(req: RouteRequest, upstream: string, cachedBlocks: number): void {
        const renewed = [dependencies.preset().placementBlocks, computeCaseDepth(req.blocks.length)]
            .filter(depth => depth > 0 && depth <= cachedBlocks)
            .map(depth => req.blocks[depth - 1]!);
        dependencies.onPlaced(req, upstream, [...renewed, ...req.blocks.slice(cachedBlocks)]);
    }

    function chooseUpstream(req: RouteRequest): Result<RouteDecision, Refusal> {
        const upstreams = dependencies.listCandidates(req.scope.model);
        const nowMs = dependencies.now();
        const options = upstreams.length === 0 ? [] : collectCandidates(req, upstreams, nowMs);
        if (options.length === 0) {
            return err(createRefusal("noUpstream", `no upstream is left for model "${req.scope.model}"`));
        }
        const candidates = options.map(option => estimateCost(req, option, nowMs));
        let best = 0;
        for (let index = 1; index < candidates.length; index += 1) {
            if (candidates[index]!.cost < candidates[best]!.cost) {
                best = index;
            }
        }
        const { upstream, holder, isPreferred } = options[best]!;
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
