/**
 * @module
 * Names of seats.
 */
import { seatsPerCustomer } from "./limitConstants.js";

/**
 * Names the seats of a customer.
 *
 * @param customer - Id of the customer.
 * @returns The names as they stand in the ledger.
 * @example
 * listSeatNames("town-hall")[0]; // "town-hall/0"
 */
export function listSeatNames(customer: string): readonly string[] {
    return Array.from({ length: seatsPerCustomer }, (_, index) => `${customer}/${index}`);
}
