/**
 * @module
 * Chooses the upstream for a request by estimated cost, or none when the request should wait. Under heavy load on
 * engines whose memory holds about a dozen large prompts, the prefill of a shared prompt is weighed against queueing
 * behind other prompts.
 */
import { waitingAllowance } from "./_lib/waitingAllowance.js";
import type { CandidateLoad, PlacementCandidate } from "./placementTypes.js";

/** Cost of each running request for a new one, in prompt tokens: it makes each decoding step longer. */
const runningRequestTokens = 40;

/** Cost of a token that is prefilled again, beside its prefill: it takes capacity from other requests. */
const repeatedTokenCost = 1;

/** Cost of outdated weights, in prompt tokens: the answer is worth a fifth less to its caller. */
const outdatedTokens = 8_000;

/** Cost of another failure domain, in prompt tokens, for the traffic between failure domains. */
const remoteDomainTokens = 150;

/** The same at plain upstreams that state their load, as a share of their slots. */
const remoteDomainShare = 0.02;

/** Fraction of an engine's memory that placed requests may use: above it, engines preempt running requests. */
const maxMemoryFraction = 0.95;

/** How far below the length at which an upstream rejects requests its queue counts as full. */
const queueMargin = 0.5;

/**
 * Of a plain upstream the expected number of requests decides, not the drawn one: of several full upstreams one would nearly
 * always be drawn as free. Of engines the drawn one does: they order waiting requests of all instances by urgency, and
 * requests should not wait at instances for as long as a statement is old.
 */
function hasFreeSlot({ load, use, slots, memoryTokens }: PlacementCandidate): boolean {
    if (load === undefined) {
        return use.requests < slots;
    }
    return memoryTokens === undefined
        ? load.estimate.requests < slots + waitingAllowance
        : load.requests < slots;
}

/** Estimates the memory of those requests that no instance reports: they are like the ones of this instance. */
function estimateUnknownMemory({ load, use }: PlacementCandidate): number {
    const unknown = load === undefined ? 0 : Math.max(0, Math.round(load.requests) - use.requests);
    return unknown * (load?.estimate.memoryTokens ?? 0);
}

function hasFreeCapacity(candidate: PlacementCandidate): boolean {
    const { load } = candidate;
    if (!hasFreeSlot(candidate)) {
        return false;
    }
    const { waiting, queueLimit } = load?.estimate ?? {};
    if (waiting !== undefined && queueLimit !== undefined && waiting > queueLimit - queueMargin) {
        return false;
    }
    const unknownTokens = estimateUnknownMemory(candidate);
    if (candidate.memoryTokens === undefined || (candidate.use.requests === 0 && unknownTokens === 0)) {
        return true;
    }
    const usedTokens = candidate.use.memoryTokens + candidate.unreported.memoryTokens + unknownTokens;
    return usedTokens + candidate.neededTokens <= candidate.memoryTokens * maxMemoryFraction;
}

/**
 * Weighs a pace: less than in proportion, which would overload fast upstreams before statements of it arrive, and more than
 * not at all, which would overload slow ones.
 */
const weighPace = (pace: number) => Math.sqrt(pace);

/** Estimates the cost of a plain upstream as the share of its slots in use. */
function estimatePlainCost(candidate: PlacementCandidate, { estimate, requests }: CandidateLoad): number {
    const remoteDomain = candidate.isSameFailureDomain ? 0 : remoteDomainShare;
    return weighPace(estimate.pace) * (requests + 1) / candidate.slots + remoteDomain;
}

/**
 * Estimates the cost of a placement in prompt tokens: the prefill, the work queued before it, and penalties. A pace that is
 * stated makes work longer or shorter.
 */
function estimateCost(candidate: PlacementCandidate): number {
    if (candidate.memoryTokens === undefined && candidate.load !== undefined) {
        return estimatePlainCost(candidate, candidate.load);
    }
    const unreadTokens = candidate.use.unreadTokens + candidate.unreported.unreadTokens;
    const requests = candidate.load?.requests ?? candidate.use.requests;
    const queuedTokens = Math.max(unreadTokens, candidate.load?.waitingTokens ?? 0);
    const work = candidate.prefillTokens + queuedTokens + requests * runningRequestTokens;
    const outdated = candidate.isOutdated ? outdatedTokens : 0;
    const remoteDomain = candidate.isSameFailureDomain ? 0 : remoteDomainTokens;
    const repeated = candidate.repeatedTokens * repeatedTokenCost;
    return work * weighPace(candidate.load?.estimate.pace ?? 1) + repeated + outdated + remoteDomain;
}

/** Whether a candidate has room for a request, and what placing it there would cost. */
export interface PlacementScore {
    readonly hasRoom: boolean;
    /** Cost in prompt tokens, or at a plain upstream that states its load as a share of its slots. */
    readonly cost: number;
}

/**
 * Scores one candidate.
 *
 * @param candidate - An upstream that may run the request.
 * @returns The score by which {@link choosePlacement} decides.
 * @example
 * scorePlacement({ ...idle, prefillTokens: 900 }); // { hasRoom: true, cost: 900 }
 */
export function scorePlacement(candidate: PlacementCandidate): PlacementScore {
    return { hasRoom: hasFreeCapacity(candidate), cost: estimateCost(candidate) };
}

/**
 * Chooses the candidate with free capacity and the lowest cost, which should begin the answer soonest.
 *
 * @param candidates - Upstreams that may run the request; among equal ones the first is chosen.
 * @returns The candidate; undefined when none has free capacity now.
 * @example
 * choosePlacement([{ ...idle, prefillTokens: 900 }, { ...idle, prefillTokens: 100 }])?.prefillTokens; // 100
 */
export function choosePlacement(candidates: readonly PlacementCandidate[]): PlacementCandidate | undefined {
    let best: PlacementCandidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
        if (!hasFreeCapacity(candidate)) {
            continue;
        }
        const cost = estimateCost(candidate);
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

/**
 * Ranks the candidates with free capacity by cost.
 *
 * @param candidates - Upstreams that may run the request.
 * @returns The candidates, the one that {@link choosePlacement} chooses first.
 * @example
 * rankPlacements([{ ...idle, prefillTokens: 900 }, { ...idle, prefillTokens: 100 }])[0]?.prefillTokens; // 100
 */
export function rankPlacements(candidates: readonly PlacementCandidate[]): readonly PlacementCandidate[] {
    return candidates.filter(hasFreeCapacity)
        .map(candidate => ({ candidate, cost: estimateCost(candidate) }))
        .toSorted((left, right) => left.cost - right.cost)
        .map(one => one.candidate);
}
