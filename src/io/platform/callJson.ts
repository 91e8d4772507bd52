/**
 * @module
 * JSON calls to external systems, with classified failures and validated answers.
 */
import { err, ok, type Result } from "true-myth/result";
import { Agent, type Dispatcher, request } from "undici";
import type * as z from "zod";
import { parseJsonValue } from "../../core/_lib/parseJsonValue.js";
import type { PortFailure } from "../../core/ports/portFailure.js";
import { classifyCallError } from "../_lib/classifyCallError.js";
import { readLimitedBody } from "../_lib/readLimitedBody.js";

/** Largest answer, in bytes. */
const maxAnswerBytes = 32 * 1024 * 1024;

/** One JSON call. */
export interface JsonCall<T> {
    readonly method: "GET" | "POST" | "DELETE";
    readonly url: string;
    readonly body?: unknown;
    /** Time limit for the call, in milliseconds. */
    readonly timeoutMs: number;
    readonly schema: z.ZodType<T>;
}

/** Performs JSON calls over a connection pool of its own. */
export type CallJson = <T>(call: JsonCall<T>) => Promise<Result<T, PortFailure>>;

function parseAnswer<T>(status: number, text: string, schema: z.ZodType<T>): Result<T, PortFailure> {
    if (status >= 400) {
        return err({ kind: "refused", detail: `status ${status}: ${text.slice(0, 200)}` });
    }
    try {
        const parsed = schema.safeParse(parseJsonValue(text));
        return parsed.success ? ok(parsed.data) : err({ kind: "malformed", detail: parsed.error.message });
    }
    catch {
        return err({ kind: "malformed", detail: "response body is not valid JSON" });
    }
}

/**
 * Creates the function that calls JSON endpoints.
 *
 * @param connectTimeoutMs - Time to connect, in milliseconds.
 * @returns The function, and another that closes its connections.
 */
export function createCallJson(
    connectTimeoutMs: number,
): { readonly call: CallJson; readonly close: () => Promise<void>; } {
    const agent = new Agent({ connect: { timeout: connectTimeoutMs } });
    async function call<T>(one: JsonCall<T>): Promise<Result<T, PortFailure>> {
        try {
            const options: Parameters<typeof request>[1] = {
                dispatcher: agent,
                method: one.method satisfies Dispatcher.HttpMethod,
                signal: AbortSignal.timeout(one.timeoutMs),
            };
            if (one.body !== undefined) {
                options.headers = { "content-type": "application/json" };
                options.body = JSON.stringify(one.body);
            }
            const res = await request(one.url, options);
            return parseAnswer(
                res.statusCode,
                (await readLimitedBody(res.body, maxAnswerBytes)).toString(),
                one.schema,
            );
        }
        catch (error) {
            return err(classifyCallError(error));
        }
    }
    return { call, close: () => agent.destroy() };
}
