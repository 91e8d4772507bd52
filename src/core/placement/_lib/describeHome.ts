/**
 * @module
 * Describes how an engine stands among the homes of a prompt.
 */
import type { PlacedHome } from "../../proxy/proxyTypes.js";
import type { ModelOption } from "./placementOptions.js";

/**
 * Describes the place of an engine among the homes of the prompt.
 *
 * @param model - The prompt and its caches; undefined for a plain service.
 * @param engine - Id of the engine.
 * @returns The place; undefined where no homes are agreed on.
 * @example
 * describeHome(option.model, "engine-2")?.rank; // 0
 */
export function describeHome(model: ModelOption | undefined, engine: string): PlacedHome | undefined {
    const homes = model?.view.homes;
    if (homes === undefined) {
        return undefined;
    }
    const rank = homes.engines.indexOf(engine);
    return { rank: rank < 0 ? undefined : rank, homes: homes.homes, requestsPerSecond: homes.requestsPerSecond };
}
