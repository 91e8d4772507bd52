/**
 * @module
 * The engines whose state the lease holder polls.
 */
import { type Catalogue, findEntry, listEntries } from "../catalogue/catalogue.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";

/**
 * Lists the engines of unfinished work: announced loads first, then orders, then the models of rollouts.
 *
 * @param catalogue - The catalogue in force.
 * @returns The engines, each once.
 * @example
 * listWatchedEngines(catalogue).map(one => one.address);
 */
export function listWatchedEngines(catalogue: Catalogue): readonly Upstream[] {
    const ordered = [...catalogue.orders.values()].filter(held => held.end === undefined).map(held =>
        held.order.upstream
    );
    const rolling = [...catalogue.entries.values()].flatMap(held => held.rollout === undefined ? [] : [held.entry.id]);
    const engines = listEntries(catalogue, "upstream")
        .filter(one => one.role === "engine" && one.serves.some(model => rolling.includes(model)));
    const ids = new Set([...catalogue.loads.keys(), ...ordered, ...engines.map(one => one.id)]);
    return [...ids].flatMap(id => findEntry(catalogue, "upstream", id) ?? []);
}
