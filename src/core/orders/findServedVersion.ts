/**
 * @module
 * The weights version of a model that an upstream serves.
 */
import type { Catalogue } from "../catalogue/catalogue.js";

/**
 * Finds the weights version that requests to an upstream are sent for: the catalogue's version, except for upstreams
 * that a rollout has not moved yet.
 *
 * @param catalogue - The catalogue in force.
 * @param model - Id of the model.
 * @param upstream - Id of the upstream.
 * @returns The version; undefined when the model is not in the catalogue.
 * @example
 * findServedVersion(catalogue, "easy-read", "engine-1"); // "v2"
 */
export function findServedVersion(catalogue: Catalogue, model: string, upstream: string): string | undefined {
    const held = catalogue.entries.get(`model/${model}`);
    if (held?.entry.kind !== "model") {
        return undefined;
    }
    return held.rollout === undefined
        ? held.entry.weightsVersion
        : held.rollout.moved[upstream] ?? held.rollout.from;
}
