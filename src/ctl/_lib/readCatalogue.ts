/**
 * @module
 * Reads the catalogue in force at the instance of `--address`.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import { catalogueFromSnapshot } from "../../core/catalogue/snapshot.js";
import type { Invocation } from "../commandTypes.js";

/**
 * Reads the catalogue in force at the instance of `--address`.
 *
 * @param invocation - The invocation.
 * @returns The catalogue.
 */
export async function readCatalogue(invocation: Invocation): Promise<Catalogue> {
    return catalogueFromSnapshot(await invocation.client.operator.readCatalogue.query());
}
