/**
 * @module
 * Reads how many tokens a whole answer says that it generated.
 */
import { z } from "zod";

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
    try {
        const parsed = usageSchema.safeParse(JSON.parse(new TextDecoder().decode(body)));
        return parsed.data?.usage.completion_tokens;
    }
    catch {
        return undefined;
    }
}
