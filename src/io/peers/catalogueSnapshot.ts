/**
 * @module
 * Conversion of a catalogue to and from the form that is sent between processes.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import type { CatalogueSnapshot } from "./peerRouter.js";

/**
 * Converts a catalogue for sending.
 *
 * @param catalogue - The catalogue.
 * @returns The snapshot.
 */
export function catalogueToSnapshot(catalogue: Catalogue): CatalogueSnapshot {
    return { nextOffset: catalogue.nextOffset, entries: [...catalogue.entries.values()] };
}

/**
 * Converts a received snapshot.
 *
 * @param snapshot - The snapshot.
 * @returns The catalogue.
 */
export function catalogueFromSnapshot(snapshot: CatalogueSnapshot): Catalogue {
    const entries = snapshot.entries.map(held => [`${held.entry.kind}/${held.entry.id}`, held] as const);
    return { nextOffset: snapshot.nextOffset, entries: new Map(entries) };
}
