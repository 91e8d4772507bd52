/**
 * @module
 * Chooses the option for a request: among the few engines that it considers, or among all when none of these has room.
 */
import type { UpstreamRateLimits } from "../permits/createUpstreamPermits.js";
import type { Option } from "./_lib/placementOptions.js";
import { chooseLimitedPlacement } from "./chooseLimitedPlacement.js";
import type { PlacementCandidate } from "./placementTypes.js";

/** What decides beside the cost. */
export interface OptionConstraints {
    /** Keeps the options that the request considers first. */
    readonly narrow: (options: readonly Option[]) => readonly Option[];
    /** Keeps the candidates that leave enough room to more urgent requests. */
    readonly filter: (candidates: readonly PlacementCandidate[]) => readonly PlacementCandidate[];
    readonly limits: Pick<UpstreamRateLimits, "isLimited" | "take">;
}

/**
 * Chooses the option.
 *
 * @param options - The upstreams that may run the request.
 * @param constraints - What decides beside the cost.
 * @returns The option; undefined when none can run the request now.
 * @example
 * chooseOption(options, { narrow: all => all, filter: all => all, limits: permits })?.choice.record.id; // "engine-2"
 */
export function chooseOption(
    options: readonly Option[],
    { narrow, filter, limits }: OptionConstraints,
): Option | undefined {
    const choose = (among: readonly Option[]) => {
        const chosen = chooseLimitedPlacement(filter(among.map(option => option.candidate)), limits);
        return among.find(option => option.candidate === chosen);
    };
    const narrowed = narrow(options);
    return choose(narrowed) ?? (narrowed.length < options.length ? choose(options) : undefined);
}
