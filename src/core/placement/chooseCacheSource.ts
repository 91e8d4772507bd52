/**
 * @module
 * Chooses the source from which an engine fetches cached prompt parts that it lacks. A fetch takes a fraction of the
 * time of a prefill, and no compute of the engine.
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

/** Minimum gain of a fetch in tokens: below it, the lookup takes as long as the prefill. */
export const minFetchTokens = 64;

/**
 * Compares two holders as sources: most tokens first, then engines, the same failure domain, and the less busy one.
 *
 * @param left - A holder.
 * @param right - Another one.
 * @returns Whether the first is the better source.
 * @example
 * isBetterSource({ ...holder, heldTokens: 900 }, { ...holder, heldTokens: 100 }); // true
 */
export function isBetterSource(left: CacheHolder, right: CacheHolder): boolean {
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

/**
 * Chooses the holder that caches most beyond the engine's own cache.
 *
 * @param holders - Other engines and stores.
 * @param ownTokens - Tokens that the engine caches from the start of the prompt.
 * @returns The holder; undefined when no fetch is worthwhile.
 * @example
 * const store = { address: "10.0.0.2:80", heldTokens: 6_300, isSameFailureDomain: true, requests: 2, isStore: true };
 * chooseCacheSource([store], 2_500)?.address; // "10.0.0.2:80"
 */
export function chooseCacheSource(holders: readonly CacheHolder[], ownTokens: number): CacheHolder | undefined {
    let best: CacheHolder | undefined;
    for (const holder of holders) {
        const isWorthwhile = holder.heldTokens >= ownTokens + minFetchTokens;
        if (isWorthwhile && (best === undefined || isBetterSource(holder, best))) {
            best = holder;
        }
    }
    return best;
}
