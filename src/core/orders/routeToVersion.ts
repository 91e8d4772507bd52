/**
 * @module
 * Restricts routing to the engines that serve the request's weights version.
 */
import { type Catalogue, listEntries } from "../catalogue/catalogue.js";
import type { ChooseUpstream } from "../routing/routeTypes.js";
import { listServingEngines } from "./weightsVersions.js";

function listExcluded(catalogue: Catalogue, model: string, weightsVersion: string): readonly string[] {
    const isStable = catalogue.loads.size === 0 && catalogue.entries.get(`model/${model}`)?.rollout === undefined;
    if (isStable) {
        return [];
    }
    const serving = new Set(listServingEngines(catalogue, model, weightsVersion).map(one => one.id));
    return listEntries(catalogue, "upstream").map(one => one.id).filter(id => !serving.has(id));
}

/**
 * Wraps a router so that engines which serve another version, or swap their weights, are not chosen. Outside of
 * rollouts and loads it costs one look-up.
 *
 * @param chooseUpstream - The router.
 * @param readCatalogue - Reads the catalogue in force.
 * @returns A router for the version of each request's scope.
 * @example
 * const choose = routeToVersion(createCostRouter(dependencies), follower.current);
 */
export function routeToVersion(chooseUpstream: ChooseUpstream, readCatalogue: () => Catalogue): ChooseUpstream {
    return req => {
        const excluded = listExcluded(readCatalogue(), req.scope.model, req.scope.weightsVersion);
        return chooseUpstream(
            excluded.length === 0 ? req : { ...req, excluded: new Set([...req.excluded, ...excluded]) },
        );
    };
}
