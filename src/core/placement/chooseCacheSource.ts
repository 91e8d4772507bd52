/**
 * @module
 * Chooses where an engine fetches the prompt parts that it lacks. A fetch takes a fraction of the time of reading the
 * prompt again, and nothing of the engine's own work.
 */

/** A holder of prompt parts. */
export interface CacheHolder {
    /** "ip:port". */
    readonly address: string;
    /** Tokens that it keeps from the start of the prompt. */
    readonly heldTokens: number;
    /** Whether it is in the failure domain of the engine that fetches. */
    readonly isSameFailureDomain: boolean;
    /** Requests at work there; its transfers run one after another. */
    readonly requests: number;
    /** Whether it is a store, whose one link serves the transfers of all engines. */
    readonly isStore: boolean;
}

/** Fewest tokens that are worth a fetch: below it, finding out takes as long as reading them. */
const leastFetchTokens = 64;

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

/**
 * Chooses the holder that keeps most beyond what the engine keeps itself.
 *
 * @param holders - Other engines and stores.
 * @param ownTokens - Tokens that the engine keeps from the start of the prompt.
 * @returns The holder; undefined when none keeps enough more.
 * @example
 * chooseCacheSource([{ address: "10.0.0.2:80", heldTokens: 6_300, isNear: true, requests: 2 }], 2_500)?.address;
 */
export function chooseCacheSource(holders: readonly CacheHolder[], ownTokens: number): CacheHolder | undefined {
    let best: CacheHolder | undefined;
    for (const holder of holders) {
        const isWorthwhile = holder.heldTokens >= ownTokens + leastFetchTokens;
        if (isWorthwhile && (best === undefined || isBetter(holder, best))) {
            best = holder;
        }
    }
    return best;
}
