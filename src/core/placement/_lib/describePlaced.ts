/**
 * @module
 * Describes what a placed request uses of its upstream.
 */
import type { PlacedRequest } from "../createUpstreamUseTracker.js";
import { countOwnTokens, countSharedTokens } from "./countPromptTokens.js";
import type { Option } from "./placementOptions.js";

/**
 * Describes the use.
 *
 * @param option - Where the request was placed.
 * @returns The use; no tokens for a plain service.
 * @example
 * use.begin(req, describePlaced(option), clock.now());
 */
export function describePlaced({ candidate, model }: Option): PlacedRequest {
    const upstream = candidate.id;
    return model === undefined
        ? { upstream, ownTokens: 0, sharedKey: "", sharedTokens: 0, unreadTokens: 0 }
        : {
            upstream,
            ownTokens: countOwnTokens(model.prompt),
            sharedKey: model.view.sharedKey,
            sharedTokens: countSharedTokens(model.prompt),
            unreadTokens: candidate.prefillTokens,
        };
}
