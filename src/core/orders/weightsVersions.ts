/**
 * @module
 * Routing during a rollout: the weights version of a request and the engines that serve it.
 */
import { type Catalogue, listEntries } from "../catalogue/catalogue.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";
import { findServedVersion } from "./findServedVersion.js";

/** An engine that swaps weights receives no requests; one that loads an additional model keeps serving. */
function isSwapping(catalogue: Catalogue, upstream: string): boolean {
    const load = catalogue.loads.get(upstream);
    return load !== undefined && load.orderId === undefined;
}

/**
 * Lists the engines that serve a version of a model now.
 *
 * @param catalogue - The catalogue in force.
 * @param model - Id of the model.
 * @param weightsVersion - The version.
 * @returns The engines, without draining ones and without those that swap their weights.
 * @example
 * listServingEngines(catalogue, "easy-read", "v2");
 */
export function listServingEngines(catalogue: Catalogue, model: string, weightsVersion: string): readonly Upstream[] {
    return listEntries(catalogue, "upstream").filter(one =>
        one.role === "engine" && !one.leaving && one.serves.includes(model)
        && !isSwapping(catalogue, one.id)
        && findServedVersion(catalogue, model, one.id) === weightsVersion
    );
}

/** Range of a 64-bit key. */
const keyRange = 2 ** 64;

/**
 * Chooses the weights version of a request. During a rollout, requests are split by key in proportion to the engines
 * that serve each version, so that requests with the same key share a version and its cache entries.
 *
 * @param catalogue - The catalogue in force.
 * @param model - Id of the model.
 * @param key - Hash of the data that determines the request's placement.
 * @returns The version; undefined when the model is not in the catalogue.
 * @example
 * chooseWeightsVersion(catalogue, "easy-read", hashText(customer));
 */
export function chooseWeightsVersion(catalogue: Catalogue, model: string, key: bigint): string | undefined {
    const held = catalogue.entries.get(`model/${model}`);
    if (held?.entry.kind !== "model") {
        return undefined;
    }
    if (held.rollout === undefined) {
        return held.entry.weightsVersion;
    }
    const versions = [...new Set([held.entry.weightsVersion, ...Object.values(held.rollout.moved), held.rollout.from])];
    const counts = versions.map(version => listServingEngines(catalogue, model, version).length);
    const total = counts.reduce((sum, count) => sum + count, 0);
    let position = Number(BigInt.asUintN(64, key)) / keyRange * total;
    for (const [index, count] of counts.entries()) {
        if (position < count) {
            return versions[index];
        }
        position -= count;
    }
    return held.entry.weightsVersion;
}
