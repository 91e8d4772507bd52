/**
 * @module
 * Reads how many tokens a whole answer says that it generated.
 */
import { z } from "zod";
import { parseJson } from "../_lib/parseJson.js";

const usageSchema = z.object({ usage: z.object({ completion_tokens: z.number().int().min(0) }) });

/**
 * Reads the number of generated tokens.
 *
 * @param body - The whole answer as JSON.
 * @returns The number, or undefined when the answer does not say.
 * @example
 * readOutputTokens(new TextEncoder().encode("{}")); // undefined
 */
export function readOutputTokens(body: Uint8Array): number | undefined {
    return parseJson(usageSchema, new TextDecoder().decode(body))?.usage.completion_tokens;
}
