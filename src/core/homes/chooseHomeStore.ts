/**
 * @module
 * Chooses the cache store that keeps the shared parts of a prompt: one, so that the stores together hold as many prompts as
 * they can, and the same on all instances, most of which do not read what the stores hold.
 */
import { createEngineRanking } from "./createEngineRanking.js";

/** A cache store. */
export interface StorePlace {
    readonly id: string;
    readonly failureDomain: string;
}

/**
 * Chooses a store in the failure domain of the prompt's first home, whose transfers take half of the time, or any.
 *
 * @param key - Key of the shared prompt.
 * @param homeDomain - Failure domain of its first home.
 * @param stores - Stores that answer.
 * @returns The store; undefined when there is none.
 * @example
 * chooseHomeStore(7, "north", [{ id: "store-1", failureDomain: "south" }])?.id; // "store-1"
 */
export function chooseHomeStore<T extends StorePlace>(
    key: number,
    homeDomain: string | undefined,
    stores: readonly T[],
): T | undefined {
    const near = stores.filter(store => store.failureDomain === homeDomain);
    const among = near.length > 0 ? near : stores;
    const [first] = createEngineRanking().list(key, among.map(store => store.id), 1);
    return among.find(store => store.id === first);
}
