/**
 * @module
 * Computes the room that a request leaves to more urgent ones at an upstream. It answers bursts of patient requests: without a
 * reserve they fill the upstreams, and an urgent request waits until one of them has ended.
 */
import type { Demand } from "./createServiceDemand.js";

/** What the reserve of an upstream follows from. */
export interface ReserveQuery {
    /** More urgent requests of the service that arrive at this instance. */
    readonly urgent: Demand;
    /** Number of instances that share the traffic. */
    readonly instances: number;
    /** Number of upstreams that share it. */
    readonly upstreams: number;
    /** Mean time for which an upstream is busy with a request, in milliseconds. */
    readonly holdMs: number;
    /** Requests at the upstream. */
    readonly running: number;
    readonly slots: number;
    /** Part of the less urgent request's time until its latency objective that is left: 1 on arrival, 0 when it is due. */
    readonly slack: number;
}

/** Room that more urgent requests need. */
export interface UrgentReserve {
    readonly requests: number;
    readonly tokens: number;
}

/** Chance of an urgent request to find no room behind a request that has just arrived. */
const minShortageChance = 0.05;

/** Arrivals that are exceeded with a chance of `maxChance` at most, when `expected` are expected independently; at most `max`. */
function boundArrivals(expected: number, maxChance: number, max: number): number {
    let term = Math.exp(-expected);
    let covered = term;
    let arrivals = 0;
    while (arrivals < max && 1 - covered > maxChance) {
        arrivals += 1;
        term *= expected / arrivals;
        covered += term;
    }
    return arrivals;
}

/**
 * Computes the reserve: the urgent requests that come to the upstream until room comes free there, up to a chance that grows as
 * the less urgent request comes nearer to its own latency objective. So it waits while others may need the room, and no longer
 * than it can without being late.
 *
 * @param query - The demand, the upstream and the request's slack.
 * @returns The reserve; nothing when no urgent request came lately, or when the less urgent one is due.
 * @example
 * computeUrgentReserve({ urgent, instances: 8, upstreams: 6, holdMs: 300, running: 4, slots: 8, slack: 1 }).requests; // 1
 */
export function computeUrgentReserve(query: ReserveQuery): UrgentReserve {
    const { urgent, instances, upstreams, holdMs, running, slots, slack } = query;
    const freeInMs = holdMs / Math.max(1, running);
    const expected = urgent.requestsPerMs * instances / Math.max(1, upstreams) * freeInMs;
    const maxChance = 1 - (1 - minShortageChance) * Math.min(1, Math.max(0, slack));
    const requests = boundArrivals(expected, maxChance, slots);
    return { requests, tokens: requests * urgent.meanTokens };
}
