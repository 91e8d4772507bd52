/**
 * @module
 * Which engines load new weights next.
 */

/** One engine of a model. */
export interface LoadCandidate {
    readonly id: string;
    readonly isOutdated: boolean;
    /** Version of the weights that it has. */
    readonly version: number;
    readonly isLoading: boolean;
    /** Requests at work there; they end before new weights are taken. */
    readonly requests: number;
}

/** Part of a model's engines that load at once. Engines slow each other, and those that load serve nothing. */
const loadingShare = 0.2;

/**
 * Chooses the engines to order now: those with the oldest weights, the least busy first.
 *
 * @param candidates - All engines of the model that serve.
 * @returns Ids of the engines.
 * @example
 * planLoads([{ id: "e-1", isOutdated: true, version: 1, isLoading: false, requests: 0 }]); // ["e-1"]
 */
export function planLoads(candidates: readonly LoadCandidate[]): readonly string[] {
    const limit = Math.ceil(candidates.length * loadingShare);
    const free = limit - candidates.filter(candidate => candidate.isLoading).length;
    const outdated = candidates.filter(candidate => candidate.isOutdated && !candidate.isLoading);
    const ordered = outdated.toSorted((left, right) => left.version - right.version || left.requests - right.requests);
    return ordered.slice(0, Math.max(0, free)).map(candidate => candidate.id);
}
