/**
 * @module
 * Finds the weights for which a request is sent.
 */
import type { Placement, ProxyRequest } from "../proxy/proxyTypes.js";
import type { SentWeights } from "./createUnbegunSends.js";

/**
 * Finds the weights for which a request is sent.
 *
 * @param req - The request.
 * @param placement - Where it is sent.
 * @returns The weights; undefined for a plain service, or when the version was not known.
 * @example
 * findSentWeights({ prompt }, { weightsVersion: 3 }); // { model: prompt.model, version: 3 }
 */
export function findSentWeights(
    { prompt }: Pick<ProxyRequest, "prompt">,
    { weightsVersion: version }: Pick<Placement, "weightsVersion">,
): SentWeights | undefined {
    return prompt === undefined || version === undefined ? undefined : { model: prompt.model, version };
}
