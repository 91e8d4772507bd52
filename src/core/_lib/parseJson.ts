/**
 * @module
 * Parses JSON text that comes from outside the process.
 */
import type { z } from "zod";

/**
 * Parses JSON text against a schema.
 *
 * @param schema - What the text must hold.
 * @param text - The text.
 * @returns The value; undefined when the text is no JSON or does not fit the schema.
 * @example
 * parseJson(z.object({ end: z.number() }), '{"end":3}')?.end; // 3
 */
export function parseJson<T>(schema: z.ZodType<T>, text: string): T | undefined {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return undefined;
    }
    return schema.safeParse(value).data;
}
