/**
 * @module
 * Chooses the upstream for a request, or says that it should wait. It answers heavy load on engines whose memory holds
 * about a dozen large prompts: reading a shared prompt again is weighed against waiting behind other prompts.
 */
import type { PlacementCandidate } from "./placementTypes.js";

/** Prompt tokens that one running request costs a new one by making each step longer. */
const runningRequestTokens = 40;

/** Prompt tokens that a request on outdated weights is weighed as: it loses a fifth of its worth to its caller. */
const outdatedTokens = 8_000;

/** Prompt tokens that a request to another failure domain is weighed as, for the bytes between failure domains. */
const distanceTokens = 150;

/** Share of an engine's memory that placed requests may take: above it, engines suspend requests that run. */
const memoryShare = 0.95;

function hasRoom(candidate: PlacementCandidate): boolean {
    if (candidate.use.requests >= candidate.slots) {
        return false;
    }
    if (candidate.memoryTokens === undefined || candidate.use.requests === 0) {
        return true;
    }
    const takenTokens = candidate.use.memoryTokens + candidate.unreportedTokens;
    return takenTokens + candidate.neededTokens <= candidate.memoryTokens * memoryShare;
}

/** Prompt tokens that the request would wait for, in reading its own prompt and behind others. */
function weigh(candidate: PlacementCandidate): number {
    const wait = candidate.use.unreadTokens + candidate.use.requests * runningRequestTokens;
    const outdated = candidate.isOutdated ? outdatedTokens : 0;
    const distance = candidate.isSameFailureDomain ? 0 : distanceTokens;
    return candidate.prefillTokens + wait + outdated + distance;
}

/**
 * Chooses the candidate with room that would begin the answer soonest.
 *
 * @param candidates - Upstreams that may run the request; among equal ones the first is chosen.
 * @returns The candidate; undefined when none has room now.
 * @example
 * choosePlacement(candidates)?.id;
 */
export function choosePlacement(candidates: readonly PlacementCandidate[]): PlacementCandidate | undefined {
    let best: PlacementCandidate | undefined;
    let bestWeight = Infinity;
    for (const candidate of candidates) {
        if (!hasRoom(candidate)) {
            continue;
        }
        const weight = weigh(candidate);
        if (weight < bestWeight) {
            best = candidate;
            bestWeight = weight;
        }
    }
    return best;
}
