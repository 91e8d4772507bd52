/**
 * @module
 * Chooses the engine on which all instances place the requests of one shared prompt when they cannot tell each other
 * quickly what they place. It answers the load of a large fleet: hundreds of instances that each know a few of the
 * requests would otherwise choose the same engines, or prefill the same prompt everywhere.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import { countSharedTokens } from "./_lib/countPromptTokens.js";
import type { PreferredEngine } from "./choosePreferredEngine.js";
import { deriveSharedKey } from "./createPartView.js";
import type { Prompt } from "./placementTypes.js";

/** Fraction of the shared tokens by which the engine costs less: more than a few requests that wait there outweigh it. */
const bonusFraction = 0.5;

/**
 * Chooses the engine by rendezvous hashing of everything that a prompt shares with others.
 *
 * @param prompt - The prompt.
 * @param salt - The salt of its cached parts.
 * @param engines - Ids of the engines that may run the request.
 * @returns The engine, the same on all instances; undefined when the prompt shares nothing or there is no engine.
 * @example
 * chooseHomeEngine(prompt, "adapt/3/shared", ["engine-1", "engine-2"])?.id; // "engine-2"
 */
export function chooseHomeEngine(
    prompt: Prompt,
    salt: string,
    engines: readonly string[],
): PreferredEngine | undefined {
    const sharedTokens = countSharedTokens(prompt);
    if (sharedTokens === 0) {
        return undefined;
    }
    const key = hashText(deriveSharedKey(prompt, salt));
    let best: { readonly id: string; readonly score: bigint; } | undefined;
    for (const id of engines) {
        const score = scoreRendezvous(key, id);
        best = best === undefined || score > best.score ? { id, score } : best;
    }
    return best === undefined
        ? undefined
        : { id: best.id, sharedTokens: 0, bonusTokens: sharedTokens * bonusFraction };
}
