/**
 * @module
 * Chooses the sources from which the engines of a service fetch cached parts of one prompt that they lack. A fetch takes
 * a fraction of the time of a prefill, and no compute of the engine. The holders are compared once for each failure
 * domain, so that the time grows with engines plus holders and not with their product.
 */

/** An engine or store that caches parts of a prompt. */
export interface CacheHolder {
    /** "ip:port". */
    readonly address: string;
    /** Tokens that it caches from the start of the prompt. */
    readonly heldTokens: number;
    /** Whether it is in the same failure domain as the engine that fetches. */
    readonly isSameFailureDomain: boolean;
    /** Requests in progress there; its transfers run one after another. */
    readonly requests: number;
    /** Whether it is a store, whose single link carries the transfers of all engines. */
    readonly isStore: boolean;
}

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

/** Minimum gain of a fetch in tokens: below it, the lookup takes as long as the prefill. */
const minFetchTokens = 64;

/** Compares two sources: most tokens first, then engines, the same failure domain, and the less busy one. */
function isBetter(left: CacheHolder, right: CacheHolder): boolean {
    if (left.heldTokens !== right.heldTokens) {
        return left.heldTokens > right.heldTokens;
    }
    if (left.isStore !== right.isStore) {
        return right.isStore;
    }
    if (left.isSameFailureDomain !== right.isSameFailureDomain) {
        return left.isSameFailureDomain;
    }
    return left.requests < right.requests;
}

/** Finds the two best holders for engines of a failure domain: the second serves an engine that is itself the best. */
function findBestTwo(holders: readonly SourceCandidate[], failureDomain: string): readonly RankedHolder[] {
    let best: RankedHolder | undefined;
    let second: RankedHolder | undefined;
    for (const one of holders) {
        const holder = { ...one, isSameFailureDomain: one.failureDomain === failureDomain };
        if (best === undefined || isBetter(holder, best)) {
            second = best;
            best = holder;
        }
        else if (second === undefined || isBetter(holder, second)) {
            second = holder;
        }
    }
    return [best, second].filter(one => one !== undefined);
}

/**
 * Creates the chooser of one prompt: it takes the best holder other than the engine itself.
 *
 * @param holders - Engines and stores that have cached parts of the prompt.
 * @returns The chooser.
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
