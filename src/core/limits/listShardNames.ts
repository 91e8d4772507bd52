/**
 * @module
 * Names of a customer's quota shards.
 */
import { shardsPerCustomer } from "./limitConstants.js";

/**
 * Lists the names of a customer's quota shards.
 *
 * @param customer - Id of the customer.
 * @returns The names that the ledger uses.
 * @example
 * listShardNames("town-hall")[0]; // "town-hall/0"
 */
export function listShardNames(customer: string): readonly string[] {
    return Array.from({ length: shardsPerCustomer }, (_, index) => `${customer}/${index}`);
}
