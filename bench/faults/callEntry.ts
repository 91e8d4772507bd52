/**
 * @module
 * One attempt of a caller at one entry, over the public interface.
 */
import { type Agent, request } from "undici";
import type { ErrorBody } from "../../src/core/errors/formatRefusal.js";
import type { AttemptEnd, CallerAttempt, CallerRequest } from "./historyTypes.js";

/** Parameters of one attempt. */
export interface EntryCall {
    readonly req: Omit<CallerRequest, "attempts">;
    readonly daemon: number;
    readonly address: string;
    readonly isListValid: boolean;
    readonly agent: Agent;
    /** The prompt of a model request. */
    readonly prompt: string;
}

const attemptTimeoutMs = 16_000;
const silenceMs = 6_000;
const maxTokens = 20;

interface ParsedStream {
    readonly end: AttemptEnd;
    readonly text: string;
    readonly streamIds: readonly string[];
    readonly error: ErrorBody["error"] | undefined;
}

interface StreamChunk {
    readonly id: string;
    readonly choices: readonly { readonly delta: { readonly content?: string; }; }[];
}

function parseStream(body: string): ParsedStream {
    const streamIds = new Set<string>();
    let text = "";
    let end: AttemptEnd = "silentEnd";
    let error: ErrorBody["error"] | undefined;
    for (const event of body.split("\n\n")) {
        const data = /^data: (.*)$/m.exec(event)?.[1];
        if (data === undefined) {
            continue;
        }
        if (event.startsWith("event: error")) {
            end = "errorEvent";
            error = (JSON.parse(data) as ErrorBody).error;
        }
        else if (data === "[DONE]") {
            end = "whole";
        }
        else {
            const chunk = JSON.parse(data) as StreamChunk;
            streamIds.add(chunk.id);
            text += chunk.choices[0]?.delta.content ?? "";
        }
    }
    return { end, text, streamIds: [...streamIds], error };
}

function toFailureEnd(error: unknown): AttemptEnd {
    const code = error instanceof Error && "code" in error ? String(error.code) : "";
    if (code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT") {
        return "connectFailed";
    }
    const isTimeout = code.endsWith("TIMEOUT") || (error instanceof Error && error.name === "TimeoutError");
    return isTimeout ? "timeout" : "reset";
}

function describeCall(call: EntryCall): { method: "GET" | "POST"; path: string; body: string | undefined; } {
    const { kind, nonce } = call.req;
    if (kind === "read") {
        return { method: "GET", path: `/services/booking/seats?ferry=${nonce}`, body: undefined };
    }
    if (kind === "booking") {
        return { method: "POST", path: "/services/booking/confirmations", body: JSON.stringify({ seat: nonce }) };
    }
    const messages = [{ role: "system", content: call.prompt }, {
        role: "user",
        content: `Case ${nonce}: rewrite it.`,
    }];
    const body = JSON.stringify({ model: "easy-read", messages, max_tokens: maxTokens, stream: true });
    return { method: "POST", path: "/v1/chat/completions", body };
}

/**
 * Makes one attempt and records what the caller received.
 *
 * @param call - The request and the entry.
 * @returns The attempt.
 */
export async function callEntry(call: EntryCall): Promise<CallerAttempt> {
    const startMs = performance.now();
    const finish = (seen: Partial<CallerAttempt> & { readonly end: AttemptEnd; }): CallerAttempt => ({
        daemon: call.daemon,
        startMs,
        endMs: performance.now(),
        errorKind: undefined,
        outcome: undefined,
        text: "",
        streamIds: [],
        isListValid: call.isListValid,
        ...seen,
    });
    const { method, path, body } = describeCall(call);
    try {
        const res = await request(`http://${call.address}${path}`, {
            dispatcher: call.agent,
            method,
            headers: {
                "authorization": `Bearer ${call.req.customer}:secret-${call.req.customer}`,
                "content-type": "application/json",
                "idempotency-key": call.req.key,
            },
            ...(body === undefined ? {} : { body }),
            headersTimeout: silenceMs,
            bodyTimeout: silenceMs,
            signal: AbortSignal.timeout(attemptTimeoutMs),
        });
        const text = await res.body.text();
        if (res.statusCode >= 400) {
            const { error } = JSON.parse(text) as ErrorBody;
            return finish({ end: "refused", errorKind: error.code, outcome: error.outcome, text });
        }
        if (call.req.kind !== "model") {
            return finish({ end: "whole", text });
        }
        const parsed = parseStream(text);
        const { end, streamIds, error } = parsed;
        return finish({ end, text: parsed.text, streamIds, errorKind: error?.code, outcome: error?.outcome });
    }
    catch (error) {
        return finish({ end: toFailureEnd(error) });
    }
}
