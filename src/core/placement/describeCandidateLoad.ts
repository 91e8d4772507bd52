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
    /** Requests by the reports of all instances, where the fleet is so small that each reports to all others. */
    readonly reportedRequests: number | undefined;
    /** Tokens of the request that no other one shares: others that wait are taken to need as many. */
    readonly ownTokens: number;
    /** Returns a number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/**
 * Describes the load. Where all instances report their requests to each other, their sum counts, and the statements add the
 * pace; elsewhere one of the numbers that the estimate allows is drawn.
 *
 * @param inputs - What is known.
 * @returns The load; undefined when the upstream states none, or nothing beside what the instances report.
 * @example
 * describeCandidateLoad({ estimate: undefined, reportedRequests: 3, ownTokens: 0, random: Math.random }); // undefined
 */
export function describeCandidateLoad(
    { estimate, reportedRequests, ownTokens, random }: CandidateLoadInputs,
): CandidateLoad | undefined {
    if (estimate === undefined) {
        return undefined;
    }
    const waitingTokens = estimate.waiting * ownTokens;
    if (reportedRequests === undefined) {
        return { estimate, requests: drawRequests(estimate, random), waitingTokens };
    }
    // Reports of peers do not make waiting requests try again, so that a full queue is not taken for the last word.
    return estimate.isPaceStated
        ? { estimate: { ...estimate, queueLimit: undefined }, requests: reportedRequests, waitingTokens }
        : undefined;
}
