/**
 * @module
 * By how much a home costs less than other engines for the requests of its prompt, so that instances which do not know each
 * other's load agree, and load that is known still decides among the homes and beyond them.
 */
import type { HomeList } from "./createPromptHomes.js";

/** Part of the shared tokens by which a home costs less: more than a few requests that wait there outweigh it. */
const homeBonus = 0.5;

/** The same of the first engine after the homes; each further one has half of it. */
const spillBonus = 0.25;

/**
 * Computes the bonus of an engine.
 *
 * @param homes - The homes of the prompt.
 * @param engine - Id of the engine.
 * @param sharedTokens - Shared tokens that only the requests of this prompt use.
 * @returns The reduction of its cost, in prompt tokens.
 * @example
 * computeHomeBonus({ engines: ["e-2", "e-1"], homes: 1, requestsPerSecond: 0 }, "e-2", 4_000); // 2_000
 */
export function computeHomeBonus(homes: HomeList, engine: string, sharedTokens: number): number {
    const rank = homes.engines.indexOf(engine);
    if (rank < 0) {
        return 0;
    }
    return rank < homes.homes ? sharedTokens * homeBonus : sharedTokens * spillBonus / 2 ** (rank - homes.homes);
}
