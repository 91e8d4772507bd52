/**
 * @module
 * Reads the current states of the engines in the catalogue.
 */
import { type Catalogue, listEntries } from "../../core/catalogue/catalogue.js";
import type { Upstream } from "../../core/catalogue/catalogueEntry.js";
import type { EnginePort, EngineState } from "../../core/ports/enginePort.js";

/** An engine's state as read from the engine. */
export interface UpstreamState {
    readonly upstream: string;
    /** Undefined when the engine did not answer. */
    readonly state?: EngineState | undefined;
    /** Why it did not answer. */
    readonly detail: string;
}

/** Engines that are read concurrently. */
const parallelReads = 16;

/** Maximum number of engines that one call reads. */
const maxReads = 256;

async function readOne(upstream: Upstream, readState: EnginePort["readState"]): Promise<UpstreamState> {
    const read = await readState(upstream.address);
    return read.isOk
        ? { upstream: upstream.id, state: read.value, detail: "" }
        : { upstream: upstream.id, state: undefined, detail: read.error.detail };
}

/**
 * Reads the states of the engines, up to 256 of them.
 *
 * @param catalogue - The catalogue in force.
 * @param readState - Reads one engine's state.
 * @returns The states in the order of the upstreams' ids.
 */
export async function readUpstreamStates(
    catalogue: Catalogue,
    readState: EnginePort["readState"],
): Promise<readonly UpstreamState[]> {
    const engines = listEntries(catalogue, "upstream").filter(one => one.role === "engine").slice(0, maxReads);
    const states: UpstreamState[] = [];
    while (states.length < engines.length) {
        const batch = engines.slice(states.length, states.length + parallelReads);
        states.push(...await Promise.all(batch.map(one => readOne(one, readState))));
    }
    return states;
}
