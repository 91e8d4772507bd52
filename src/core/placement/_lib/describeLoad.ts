/**
 * @module
 * Describes the load of a service's upstreams in a refusal.
 */
import type { UpstreamRecord } from "../../registry/upstreamRecord.js";
import type { UpstreamUse } from "../placementTypes.js";

/** The load when no upstream had free capacity. */
export interface ServiceLoad {
    /** Number of upstreams of the service. */
    readonly knownCount: number;
    /** Number of those that load weights. */
    readonly loadingCount: number;
    /** Upstreams that might have run the request, with their use. */
    readonly usable: readonly { readonly record: UpstreamRecord; readonly use: UpstreamUse; }[];
}

/** Maximum number of upstreams named in a refusal. */
const maxDescribedUpstreams = 3;

/**
 * Describes a load in one line.
 *
 * @param load - The load.
 * @returns The line, with the least used upstreams.
 * @example
 * describeLoad({ knownCount: 6, loadingCount: 1, usable: [] }); // "no upstream had free capacity (0 of 6 ...)"
 */
export function describeLoad({ knownCount, loadingCount, usable }: ServiceLoad): string {
    const uses = usable
        .toSorted((left, right) => left.use.memoryTokens - right.use.memoryTokens)
        .slice(0, maxDescribedUpstreams)
        .map(({ record, use }) => `${record.id}: ${use.requests} requests, ${Math.round(use.memoryTokens)} tokens`);
    const counts = `${usable.length} of ${knownCount} upstreams usable, ${loadingCount} loading weights`;
    return `no upstream had free capacity (${counts}; least used: ${uses.join("; ")})`;
}
