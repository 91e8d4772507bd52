/**
 * @module
 * The two named sets of routing weights; the catalogue's policy entry names the active one.
 */
import type { Policy } from "../catalogue/catalogueEntry.js";

/** Weights of the routing decision. */
export interface RoutingPreset {
    /** Cost of one millisecond of predicted wait. */
    readonly waitWeight: number;
    /** Cost of one millisecond of prefill that the cache does not save. */
    readonly prefillWeight: number;
    /** Leading blocks that determine the placement: they cover the text shared by a document type, not the case. */
    readonly placementBlocks: number;
    /** Share of an upstream's prefill time that one prefix may use before it is spread over another upstream. */
    readonly prefixLoadBound: number;
    /** Maximum number of upstreams over which a prefix is spread, as a multiple of its fair share of them. */
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
