/**
 * @module
 * Chooses the upstream for a request among upstreams some of which state rate limits.
 */
import type { UpstreamRateLimits } from "../permits/createUpstreamPermits.js";
import { choosePlacement, rankPlacements } from "./choosePlacement.js";
import type { PlacementCandidate } from "./placementTypes.js";

/** Limited upstreams whose owners are asked for permits in one attempt: a further attempt asks others. */
const maxAsks = 2;

/**
 * Chooses the candidate with the lowest cost that is not limited or for which there is a permit, and takes the permit. Owners of
 * cheaper ones are asked for permits, which later requests, or this one while it waits, can use.
 *
 * @param candidates - Upstreams that may run the request.
 * @param limits - The rate limits.
 * @returns The candidate; undefined when none can run the request now.
 * @example
 * chooseLimitedPlacement(candidates, permits)?.id; // "engine-2"
 */
export function chooseLimitedPlacement(
    candidates: readonly PlacementCandidate[],
    limits: Pick<UpstreamRateLimits, "isLimited" | "take">,
): PlacementCandidate | undefined {
    if (!candidates.some(candidate => limits.isLimited(candidate.id))) {
        return choosePlacement(candidates);
    }
    let asks = 0;
    for (const candidate of rankPlacements(candidates)) {
        if (!limits.isLimited(candidate.id)) {
            return candidate;
        }
        const result = limits.take(candidate.id, asks < maxAsks);
        if (result === "taken") {
            return candidate;
        }
        asks += result === "asked" ? 1 : 0;
    }
    return undefined;
}
