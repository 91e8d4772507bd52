/**
 * @module
 * Whether unfinished work needs a lease holder.
 */
import { type Catalogue, listEntries } from "../catalogue/catalogue.js";

/**
 * Returns whether orders, loads or rollouts are unfinished. Otherwise no instance holds the lease or appends records.
 *
 * @param catalogue - The catalogue in force.
 * @returns True when there is work.
 * @example
 * hasUnfinishedWork(emptyCatalogue); // false
 */
export function hasUnfinishedWork(catalogue: Catalogue): boolean {
    return catalogue.loads.size > 0
        || [...catalogue.orders.values()].some(held => held.end === undefined)
        || listEntries(catalogue, "model").some(model =>
            catalogue.entries.get(`model/${model.id}`)?.rollout !== undefined
        );
}
