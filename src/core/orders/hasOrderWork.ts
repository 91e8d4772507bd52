/**
 * @module
 * Whether a lease holder is needed.
 */
import { type Catalogue, listEntries } from "../catalogue/catalogue.js";

/**
 * Tells whether orders, loads or rollouts are unfinished. Without any, nobody holds the lease and nothing is appended.
 *
 * @param catalogue - The catalogue in force.
 * @returns True when there is work.
 * @example
 * hasOrderWork(emptyCatalogue); // false
 */
export function hasOrderWork(catalogue: Catalogue): boolean {
    return catalogue.loads.size > 0
        || [...catalogue.orders.values()].some(held => held.end === undefined)
        || listEntries(catalogue, "model").some(model =>
            catalogue.entries.get(`model/${model.id}`)?.rollout !== undefined
        );
}
