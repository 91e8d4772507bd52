/**
 * @module
 * Parses one line of an instance's log.
 */
import { err, ok, type Result } from "true-myth/result";
import * as z from "zod";

const lineSchema = z.looseObject({
    time: z.iso.datetime(),
    code: z.string().regex(/^RW\d{4}$/),
    instance: z.string().default(""),
    message: z.string().default(""),
});

/** One line of a log. */
export interface LogLine {
    /** Time by the instance's clock, in milliseconds since the Unix epoch. */
    readonly timeMs: number;
    readonly code: string;
    readonly instance: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a line. A prefix before the JSON text, as some collectors write, is ignored.
 *
 * @param text - The line.
 * @returns The parsed line, or an error message.
 * @example
 * parseLogLine('{"time":"2026-12-03T20:21:41.632Z","code":"RW3006","requestId":"r-1"}').isOk; // true
 */
export function parseLogLine(text: string): Result<LogLine, string> {
    const start = text.indexOf("{");
    if (start === -1) {
        return err("no JSON object");
    }
    let value: unknown;
    try {
        value = JSON.parse(text.slice(start));
    }
    catch (error) {
        return err(error instanceof Error ? error.message : String(error));
    }
    const parsed = lineSchema.safeParse(value);
    if (!parsed.success) {
        return err("no time and event code");
    }
    const { time, code, instance, message, ...fields } = parsed.data;
    return ok({ timeMs: Date.parse(time), code, instance, message, fields });
}
