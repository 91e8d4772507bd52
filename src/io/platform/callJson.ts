/**
 * @module
 * JSON calls to external systems, with classified failures and validated answers.
 */
import { err, ok, type Result } from "true-myth/result";
import { Agent, type Dispatcher } from "undici";
import type * as z from "zod";
import { parseJsonValue } from "../../core/_lib/parseJsonValue.js";
import type { PortFailure } from "../../core/ports/portFailure.js";
import { classifyCallError } from "../_lib/classifyCallError.js";
import { collectAnswer } from "../_lib/collectAnswer.js";
import { createBoundedConnector } from "../_lib/createBoundedConnector.js";

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
    const agent = new Agent({ connect: createBoundedConnector({ timeout: connectTimeoutMs }) });
    async function call<T>(one: JsonCall<T>): Promise<Result<T, PortFailure>> {
        try {
            const { origin, pathname, search } = new URL(one.url);
            const isEmpty = one.body === undefined;
            const req: Dispatcher.DispatchOptions = {
                origin,
                path: `${pathname}${search}`,
                method: one.method satisfies Dispatcher.HttpMethod,
                headers: isEmpty ? {} : { "content-type": "application/json" },
                body: isEmpty ? undefined : JSON.stringify(one.body),
            };
            const signal = AbortSignal.timeout(one.timeoutMs);
            const res = await collectAnswer(agent, req, { signal, maxBodyBytes: maxAnswerBytes });
            return parseAnswer(res.status, res.body.toString(), one.schema);
        }
        catch (error) {
            return err(classifyCallError(error));
        }
    }
    return { call, close: () => agent.destroy() };
}
