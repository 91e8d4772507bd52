/**
 * @module
 * Describes the load of an upstream for one choice among several.
 */
import { drawRequests } from "../load/drawRequests.js";
import type { LoadEstimate } from "../load/loadTypes.js";
import type { CandidateLoad } from "./placementTypes.js";

/** What is known of the upstream. */
export interface CandidateLoadInputs {
    /** Undefined where no upstream of the service states its load. */
    readonly estimate: LoadEstimate | undefined;
    /** Whether the fleet is so small that each instance reports its requests to all others. */
    readonly isFleetDirect: boolean;
    /** Tokens of the request that no other one shares: others that wait are taken to need as many. */
    readonly ownTokens: number;
    /** Returns a number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/**
 * Describes the load: one of the numbers of requests that the estimate allows is drawn. A small fleet, whose instances report
 * their requests to each other, is placed by these reports alone unless upstreams state their pace, too.
 *
 * @param inputs - What is known.
 * @returns The load; undefined when the upstream is placed without.
 * @example
 * describeCandidateLoad({ estimate: undefined, isFleetDirect: true, ownTokens: 0, random: Math.random }); // undefined
 */
export function describeCandidateLoad(
    { estimate, isFleetDirect, ownTokens, random }: CandidateLoadInputs,
): CandidateLoad | undefined {
    if (estimate === undefined || (isFleetDirect && !estimate.isPaceStated)) {
        return undefined;
    }
    return { estimate, requests: drawRequests(estimate, random), waitingTokens: estimate.waiting * ownTokens };
}
