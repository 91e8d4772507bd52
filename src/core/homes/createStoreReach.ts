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
    /** Lists the stores whose last answer is at most `maxAgeMs` old, to be told to other instances. */
    readonly list: (maxAgeMs: number, nowMs: number) => readonly StoreAnswer[];
    readonly isReachable: (id: string, maxAgeMs: number, nowMs: number) => boolean;
}

/** Most stores that are remembered, and named in a heartbeat. */
export const maxStores = 64;

/** Longest id of a store. */
export const maxStoreIdLength = 128;

/**
 * Creates the reach of stores of which nothing was heard.
 *
 * @returns The reach.
 * @example
 * const reach = createStoreReach();
 * reach.record({ id: "store-1", ageMs: 400 }, clock.now());
 * reach.isReachable("store-1", 2_000, clock.now()); // true
 */
export function createStoreReach(): StoreReach {
    const answeredMs = new Map<string, number>();
    const ageOf = (id: string, nowMs: number) => nowMs - (answeredMs.get(id) ?? -Infinity);

    function record({ id, ageMs }: StoreAnswer, nowMs: number): void {
        if (id.length > maxStoreIdLength || ageMs >= ageOf(id, nowMs)) {
            return;
        }
        answeredMs.set(id, nowMs - ageMs);
        const oldest = [...answeredMs].toSorted((left, right) => left[1] - right[1]).at(0);
        if (answeredMs.size > maxStores && oldest !== undefined) {
            answeredMs.delete(oldest[0]);
        }
    }

    return {
        record,
        list: (maxAgeMs, nowMs) =>
            [...answeredMs.keys()].map(id => ({ id, ageMs: Math.round(ageOf(id, nowMs)) }))
                .filter(answer => answer.ageMs <= maxAgeMs),
        isReachable: (id, maxAgeMs, nowMs) => ageOf(id, nowMs) <= maxAgeMs,
    };
}
