/**
 * @module
 * Which cache stores answer, as heard from the few instances that read their events: a store serves a bounded number of
 * readers, but every instance has to know whether engines can fetch from it.
 */

/** When a store last answered. */
export interface StoreAnswer {
    readonly id: string;
    /** Milliseconds since an instance read from it. */
    readonly ageMs: number;
}

/** Reach of the cache stores. Times are milliseconds on the instance's clock. */
export interface StoreReach {
    /** Records that a store answered this instance or another one. */
    readonly record: (answer: StoreAnswer, nowMs: number) => void;
    /** Whether a store has answered lately. */
    readonly isReachable: (id: string, nowMs: number) => boolean;
    /** Lists the stores that answered lately, to be told to other instances. */
    readonly list: (nowMs: number) => readonly StoreAnswer[];
}

/** Time after its last answer for which a store counts as reachable: a read, and the heartbeats that pass it on. */
const reachMs = 3_000;

/** Stores that are remembered. */
const maxStores = 16;

/**
 * Creates the reach of stores of which nothing was heard.
 *
 * @returns The reach.
 * @example
 * const reach = createStoreReach();
 * reach.record({ id: "store-1", ageMs: 400 }, clock.now());
 * reach.isReachable("store-1", clock.now()); // true
 */
export function createStoreReach(): StoreReach {
    const answeredMs = new Map<string, number>();
    const isRecent = (id: string, nowMs: number) => nowMs - (answeredMs.get(id) ?? -Infinity) < reachMs;

    return {
        record: ({ id, ageMs }, nowMs) => {
            const known = answeredMs.get(id) ?? -Infinity;
            if (ageMs >= reachMs || nowMs - ageMs <= known) {
                return;
            }
            if (answeredMs.size >= maxStores && !answeredMs.has(id)) {
                [...answeredMs.keys()].filter(one => !isRecent(one, nowMs)).forEach(one => answeredMs.delete(one));
            }
            if (answeredMs.size < maxStores || answeredMs.has(id)) {
                answeredMs.set(id, nowMs - ageMs);
            }
        },
        isReachable: isRecent,
        list: nowMs =>
            [...answeredMs].filter(([id]) => isRecent(id, nowMs))
                .map(([id, atMs]) => ({ id, ageMs: Math.round(nowMs - atMs) })),
    };
}
