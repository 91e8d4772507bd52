/**
 * @module
 * Reads the number of generated tokens from the usage field of a buffered answer.
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";

const usageSchema = z.object({ usage: z.object({ completion_tokens: z.number().int().min(0) }) });

/**
 * Reads the number of generated tokens.
 *
 * @param body - The complete answer as JSON.
 * @returns The number, or undefined when the answer does not state it.
 * @example
 * readOutputTokens(new TextEncoder().encode("{}")); // undefined
 */
export function readOutputTokens(body: Uint8Array): number | undefined {
    return parseJson(usageSchema, new TextDecoder().decode(body))?.usage.completion_tokens;
}
