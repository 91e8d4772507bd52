/**
 * @module
 * Plans which engines load new weights next.
 */

/** One engine of a model. */
export interface LoadCandidate {
    readonly id: string;
    readonly isOutdated: boolean;
    /** Version of its current weights. */
    readonly version: number;
    readonly isLoading: boolean;
    /** Requests in progress; they finish before the new weights are loaded. */
    readonly requests: number;
}

/** Maximum share of a model's engines that load at once. Engines slow each other, and those that load serve nothing. */
const maxLoadingShare = 0.2;

/**
 * Chooses the engines that load now: those with the oldest weights first, the least busy first among equals.
 *
 * @param candidates - All engines of the model that serve.
 * @returns Ids of the engines.
 * @example
 * planLoads([{ id: "e-1", isOutdated: true, version: 1, isLoading: false, requests: 0 }]); // ["e-1"]
 */
export function planLoads(candidates: readonly LoadCandidate[]): readonly string[] {
    const limit = Math.ceil(candidates.length * maxLoadingShare);
    const available = limit - candidates.filter(candidate => candidate.isLoading).length;
    const outdated = candidates.filter(candidate => candidate.isOutdated && !candidate.isLoading);
    const ordered = outdated.toSorted((left, right) => left.version - right.version || left.requests - right.requests);
    return ordered.slice(0, Math.max(0, available)).map(candidate => candidate.id);
}
