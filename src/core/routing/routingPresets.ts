/**
 * @module
 * The two named sets of routing weights; the catalogue's policy entry names the one in force.
 */
import type { Policy } from "../catalogue/catalogueEntry.js";

/** Weights of the routing decision. */
export interface RoutingPreset {
    /** Cost of one millisecond of predicted wait. */
    readonly waitWeight: number;
    /** Cost of one millisecond of prefill that the cache does not save. */
    readonly prefillWeight: number;
    /** Blocks that decide which upstreams share a prefix: they reach into the document type, not into the case. */
    readonly placementBlocks: number;
    /** Share of an upstream's prefill time that one prefix may take before it is spread over a further upstream. */
    readonly prefixLoadBound: number;
    /** Multiple of its fair share of the upstreams over which a prefix is spread at the most. */
    readonly maxSpreadFactor: number;
}

/** The presets by the name that the catalogue uses. */
export const routingPresets: Readonly<Record<Policy["preset"], RoutingPreset>> = {
    lectura: {
        waitWeight: 0.5,
        prefillWeight: 1,
        placementBlocks: 20,
        prefixLoadBound: 0.1,
        maxSpreadFactor: 2,
    },
    compagnon: {
        waitWeight: 1,
        prefillWeight: 1,
        placementBlocks: 12,
        prefixLoadBound: 0.05,
        maxSpreadFactor: 4,
    },
};
