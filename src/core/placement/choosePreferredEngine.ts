/**
 * @module
 * Chooses the engine that should prefill a shared part that is not cached anywhere, so that instances which do not know
 * of each other's requests yet send them to the same engine. It answers the load after a change of weights, when every
 * engine would prefill the parts that most prompts begin with.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import { listSharedParts } from "./_lib/listSharedParts.js";
import { derivePrefixKey } from "./createPartView.js";
import type { Prompt } from "./placementTypes.js";

/** The engine that should prefill a part. */
export interface PreferredEngine {
    readonly id: string;
    /** Tokens of the part when other requests probably need it at the same time, otherwise 0. */
    readonly sharedTokens: number;
    /** Reduction of its cost, in tokens. */
    readonly bonusTokens: number;
}

/** Fraction of an uncached part's tokens by which the preferred engine costs less. */
const bonusFraction = 0.1;

function findUncachedIndex(prompt: Prompt, cachedTokens: number): number | undefined {
    let tokens = 0;
    for (const [index, part] of listSharedParts(prompt).entries()) {
        tokens += part.tokens;
        if (tokens > cachedTokens) {
            return index;
        }
    }
    return undefined;
}

/** Returns whether a part is the first of several shared ones: then most prompts of its kind begin with it. */
function isCommonPart(prompt: Prompt, index: number): boolean {
    return index === 0 && prompt.parts.length > 2;
}

/**
 * Chooses the preferred engine for the first shared part that is not cached.
 *
 * @param prompt - The prompt.
 * @param salt - The salt of its cached parts.
 * @param cachedTokens - Most tokens from the start of the prompt that any engine or store has cached.
 * @param engines - Ids of the engines that may run the request.
 * @returns The engine, the same on all instances; undefined when all shared parts are cached.
 * @example
 * choosePreferredEngine(prompt, "adapt/3/shared", 0, ["engine-1", "engine-2"])?.id; // "engine-2"
 */
export function choosePreferredEngine(
    prompt: Prompt,
    salt: string,
    cachedTokens: number,
    engines: readonly string[],
): PreferredEngine | undefined {
    const index = findUncachedIndex(prompt, cachedTokens);
    const part = index === undefined ? undefined : prompt.parts[index];
    if (index === undefined || part === undefined) {
        return undefined;
    }
    const hash = hashText(derivePrefixKey(prompt, salt, index + 1));
    let best: { readonly id: string; readonly score: bigint; } | undefined;
    for (const id of engines) {
        const score = scoreRendezvous(hash, id);
        best = best === undefined || score > best.score ? { id, score } : best;
    }
    return best === undefined ? undefined : {
        id: best.id,
        sharedTokens: isCommonPart(prompt, index) ? part.tokens : 0,
        bonusTokens: part.tokens * bonusFraction,
    };
}
