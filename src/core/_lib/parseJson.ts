/**
 * @module
 * Parses JSON text that comes from outside the process.
 */
import type * as z from "zod";
import { parseJsonValue } from "./parseJsonValue.js";

/**
 * Parses JSON text against a schema.
 *
 * @param schema - Schema of the value.
 * @param text - The text.
 * @returns The value; undefined when the text is not JSON, has too many values or does not match the schema.
 * @example
 * parseJson(z.object({ end: z.number() }), '{"end":3}')?.end; // 3
 */
export function parseJson<T>(schema: z.ZodType<T>, text: string): T | undefined {
    let value: unknown;
    try {
        value = parseJsonValue(text);
    }
    catch {
        return undefined;
    }
    return schema.safeParse(value).data;
}
