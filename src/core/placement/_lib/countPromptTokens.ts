/**
 * @module
 * Counts the tokens of a prompt by whether other requests share them.
 */
import type { Prompt } from "../placementTypes.js";

/**
 * Adds up the tokens of a prompt's parts.
 *
 * @param prompt - The prompt.
 * @param from - Index of the first part.
 * @param to - Index after the last part; negative numbers count from the end.
 * @returns The sum.
 * @example
 * sumTokens({ ...prompt, parts: [{ id: "style", tokens: 800 }, own] }, 0, -1); // 800
 */
export function sumTokens(prompt: Prompt, from: number, to: number): number {
    return prompt.parts.slice(from, to).reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * Counts the tokens of the parts that only few requests share: all but the first and the last part.
 *
 * @param prompt - The prompt.
 * @returns The tokens.
 * @example
 * countSharedTokens({ ...prompt, parts: [style, { id: "case", tokens: 4_000 }, own] }); // 4_000
 */
export function countSharedTokens(prompt: Prompt): number {
    return sumTokens(prompt, prompt.parts.length > 2 ? 1 : 0, -1);
}

/**
 * Counts the tokens that only the request itself needs: its last part and its answer.
 *
 * @param prompt - The prompt.
 * @returns The tokens.
 * @example
 * countOwnTokens({ ...prompt, parts: [{ id: "r-1", tokens: 900 }], outputTokens: 20 }); // 920
 */
export function countOwnTokens(prompt: Prompt): number {
    return (prompt.parts.at(-1)?.tokens ?? prompt.promptTokens) + prompt.outputTokens;
}
