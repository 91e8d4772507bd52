/**
 * @module
 * Lists the parts of a prompt that other requests may share.
 */
import type { Prompt, PromptPart } from "../placementTypes.js";

/**
 * Lists the parts before the last one, which belongs to the request itself.
 *
 * @param prompt - The prompt.
 * @returns The parts, from the start of the prompt.
 * @example
 * listSharedParts({ ...prompt, parts: [style, own] }); // [style]
 */
export function listSharedParts(prompt: Prompt): readonly PromptPart[] {
    return prompt.parts.slice(0, -1);
}
