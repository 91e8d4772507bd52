/**
 * @module
 * How many upstreams serve the requests that share a prefix. It answers the load of one prefix that a single upstream cannot
 * carry: more homes than its work needs would each have to prefill it.
 */

/** The work of the requests that share a prefix. */
export interface PrefixWork {
    /** Upstreams that the work fills up to the bound that one prefix may use of an upstream. */
    readonly neededUpstreams: number;
    /** Upstreams that it would use if all of them were equally loaded. */
    readonly fairShare: number;
    /** Most upstreams, as a multiple of the fair share. */
    readonly maxSpreadFactor: number;
}

/**
 * Counts the homes of a prefix. Spreading a prefix lowers its hit rate and so adds work, which would cause further
 * spreading: the bound by its fair share stops this feedback.
 *
 * @param work - The work of the prefix.
 * @param upstreams - Number of upstreams in service.
 * @returns At least 1, and at most the number of upstreams.
 * @example
 * countHomes({ neededUpstreams: 2.4, fairShare: 5, maxSpreadFactor: 2 }, 63); // 3
 */
export function countHomes({ neededUpstreams, fairShare, maxSpreadFactor }: PrefixWork, upstreams: number): number {
    const needed = Math.ceil(Math.min(neededUpstreams, fairShare * maxSpreadFactor));
    return Math.max(1, Math.min(upstreams, needed));
}
