/**
 * @module
 * Chooses the sources from which the engines of a service fetch the parts of one prompt. It compares the holders once for
 * each failure domain, so that the time grows with engines plus holders and not with their product.
 */
import { type CacheHolder, isBetterSource, minFetchTokens } from "./chooseCacheSource.js";

/** A holder of parts, without its distance to an engine. */
export interface SourceCandidate extends Omit<CacheHolder, "isSameFailureDomain"> {
    readonly id: string;
    readonly failureDomain: string;
}

/** Chooses the source of an engine, given the tokens that it has cached itself; undefined when none is worthwhile. */
export type ChooseSource = (
    engine: { readonly id: string; readonly failureDomain: string; },
    ownTokens: number,
) => CacheHolder | undefined;

/** A holder as seen from one failure domain. */
type RankedHolder = SourceCandidate & CacheHolder;

/** Finds the two best holders for engines of a failure domain: the second serves an engine that is itself the best. */
function findBestTwo(holders: readonly SourceCandidate[], failureDomain: string): readonly RankedHolder[] {
    let best: RankedHolder | undefined;
    let second: RankedHolder | undefined;
    for (const one of holders) {
        const holder = { ...one, isSameFailureDomain: one.failureDomain === failureDomain };
        if (best === undefined || isBetterSource(holder, best)) {
            second = best;
            best = holder;
        }
        else if (second === undefined || isBetterSource(holder, second)) {
            second = holder;
        }
    }
    return [best, second].filter(one => one !== undefined);
}

/**
 * Creates the chooser of one prompt.
 *
 * @param holders - Engines and stores that have cached parts of the prompt.
 * @returns The chooser; it makes the choices of {@link chooseCacheSource} among the holders other than the engine.
 * @example
 * createSourceChooser([store])({ id: "engine-1", failureDomain: "north" }, 0)?.address; // "10.0.0.2:80"
 */
export function createSourceChooser(holders: readonly SourceCandidate[]): ChooseSource {
    const bestByDomain = new Map<string, readonly RankedHolder[]>();

    return ({ id, failureDomain }, ownTokens) => {
        const best = bestByDomain.get(failureDomain) ?? findBestTwo(holders, failureDomain);
        bestByDomain.set(failureDomain, best);
        const source = best.find(holder => holder.id !== id);
        return source !== undefined && source.heldTokens >= ownTokens + minFetchTokens ? source : undefined;
    };
}
