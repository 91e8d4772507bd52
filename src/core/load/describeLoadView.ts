/**
 * @module
 * Describes how old and how even the known load of upstreams is, for metrics.
 */
import type { LoadedUpstream, LoadEstimate } from "./loadTypes.js";

/** An upstream of the list. */
export interface ListedUpstream extends LoadedUpstream {
    readonly id: string;
}

/** Summary of the known load. */
export interface LoadViewSummary {
    /** Median age of the newest statements, in milliseconds; infinite when there are none. */
    readonly ageMs: number;
    /** Share of its slots in use at the busiest upstream of a service, as a factor of the service's mean; the largest one. */
    readonly spread: number;
}

/** Share of the slots in use below which a service is too idle for its spread to count. */
const minShare = 0.05;

function findSpread(shares: readonly number[]): number {
    const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
    return mean < minShare ? 1 : Math.max(...shares) / mean;
}

/**
 * Summarizes the load.
 *
 * @param upstreams - The upstreams.
 * @param estimate - Estimates the load of one.
 * @returns The summary.
 * @example
 * describeLoadView([], () => undefined); // { ageMs: Infinity, spread: 1 }
 */
export function describeLoadView(
    upstreams: readonly ListedUpstream[],
    estimate: (upstream: string) => LoadEstimate | undefined,
): LoadViewSummary {
    const ages: number[] = [];
    const shares = new Map<string, number[]>();
    for (const { id, service, slots } of upstreams) {
        const load = estimate(id);
        if (load !== undefined && Number.isFinite(load.ageMs)) {
            ages.push(load.ageMs);
            const known = shares.get(service) ?? [];
            known.push(load.requests / Math.max(1, slots));
            shares.set(service, known);
        }
    }
    const median = ages.toSorted((left, right) => left - right)[Math.floor(ages.length / 2)];
    return { ageMs: median ?? Infinity, spread: Math.max(1, ...[...shares.values()].map(findSpread)) };
}
