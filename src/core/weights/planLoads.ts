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
    /** Time for which requests are still sent to it with its current weights, in milliseconds; infinite when they are the newest. */
    readonly usableMs: number;
    /** Time until it has to have the newest weights, in milliseconds. */
    readonly dueInMs: number;
}

/** Options of {@link planLoads}. */
export interface LoadPlanOptions {
    /** Time that a load takes from its acceptance, in milliseconds. */
    readonly loadMs: number;
}

/**
 * Share of a model's engines that load at once while there is time. Engines slow each other, and those that load serve nothing.
 */
const loadingShare = 0.2;

/** The same at most where more have to load at once for all to have new weights before their current ones are no longer used. */
const hurriedShare = 0.5;

/** Number of loads at once after which each engine has new weights within its time. Times are milliseconds. */
function countNeeded(timesMs: readonly number[], loadMs: number): number {
    const ordered = timesMs.toSorted((left, right) => left - right);
    const needed = ordered.map((timeMs, index) => (index + 1) / Math.max(1, Math.floor(timeMs / loadMs)));
    return Math.ceil(Math.max(0, ...needed));
}

function computeLimit(candidates: readonly LoadCandidate[], { loadMs }: LoadPlanOptions): number {
    const open = candidates.filter(candidate => candidate.isOutdated || candidate.isLoading);
    const shareOf = (share: number) => Math.ceil(candidates.length * share);
    return Math.max(
        shareOf(loadingShare),
        Math.min(shareOf(hurriedShare), countNeeded(open.map(candidate => candidate.usableMs), loadMs)),
        countNeeded(open.map(candidate => candidate.dueInMs), loadMs),
    );
}

/**
 * Chooses the engines that load now: those with the oldest weights first, the least busy first among equals. More load at
 * once where a rollout is late.
 *
 * @param candidates - All engines of the model that serve.
 * @param options - How long a load takes.
 * @returns Ids of the engines.
 * @example
 * const engine = { id: "e-1", isOutdated: true, version: 1, isLoading: false, requests: 0 };
 * planLoads([{ ...engine, usableMs: 6_000, dueInMs: 8_400 }], { loadMs: 800 }); // ["e-1"]
 */
export function planLoads(candidates: readonly LoadCandidate[], options: LoadPlanOptions): readonly string[] {
    const available = computeLimit(candidates, options) - candidates.filter(candidate => candidate.isLoading).length;
    const outdated = candidates.filter(candidate => candidate.isOutdated && !candidate.isLoading);
    const ordered = outdated.toSorted((left, right) => left.version - right.version || left.requests - right.requests);
    return ordered.slice(0, Math.max(0, available)).map(candidate => candidate.id);
}
