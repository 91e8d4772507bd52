/**
 * @module
 * Calls to upstreams over HTTP, with failures classified as `notSent` or `lost`.
 */
import type { Readable } from "node:stream";
import { type Dispatcher, request } from "undici";
import * as z from "zod";
import { parseJson } from "../../core/_lib/parseJson.js";
import type { AnswerHead, UpstreamCall } from "../../core/effects/effectTypes.js";
import type { EngineLoad } from "../../core/ports/enginePort.js";
import { classifyCallError } from "../_lib/classifyCallError.js";
import { createConnectionPools } from "./createConnectionPools.js";
import { loadSchema } from "./createEngineClient.js";

/** The head of an upstream's answer with its body. */
export interface OpenedAnswer {
    readonly kind: "answered";
    readonly head: AnswerHead;
    readonly body: Readable;
}

/** Result of opening an answer. */
export type OpenResult =
    | OpenedAnswer
    | { readonly kind: "notSent" | "lost"; readonly detail: string; }
    | { readonly kind: "callerGone"; };

/** A client for all upstreams of the instance. */
export interface UpstreamClient {
    /** Sends a call and waits for the head of its answer; `signal` aborts it. */
    readonly open: (call: UpstreamCall, signal: AbortSignal | undefined) => Promise<OpenResult>;
    /** Discards the pooled connections of an address. */
    readonly discardIdleConnections: (address: string) => void;
    /** Discards all pooled connections, for example after a pause of the process. */
    readonly discardAllIdleConnections: () => void;
    readonly close: () => Promise<void>;
}

/** What an answer's head says about whether the upstream accepts new work. */
export interface UpstreamSignal {
    readonly isNotRun: boolean;
    /** Whether the load report in the head says that the upstream is draining. */
    readonly isDraining: boolean;
}

/** Options of {@link createUpstreamClient}. */
export interface UpstreamClientOptions {
    readonly connectTimeoutMs: number;
    /** Idle timeout of a response body, in milliseconds. */
    readonly silenceTimeoutMs: number;
    readonly onMismatch: (call: UpstreamCall) => void;
    /** Called for each answer with the drain signal in its head. */
    readonly onSignal?: (call: UpstreamCall, signal: UpstreamSignal) => void;
    /** Called before each call, to detect a pause of the process before its timers run. */
    readonly beforeOpen?: () => void;
}

const drainReportSchema = z.object({ leaving: z.boolean() });

function readText(headers: Dispatcher.ResponseData["headers"], name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" ? value : undefined;
}

function readNumber(headers: Dispatcher.ResponseData["headers"], name: string): number | undefined {
    const text = readText(headers, name);
    return text === undefined || !/^\d+$/.test(text) ? undefined : Number(text);
}

function readLoad(headers: Dispatcher.ResponseData["headers"]): EngineLoad | undefined {
    return parseJson(loadSchema, readText(headers, "x-load") ?? "");
}

function readDraining(headers: Dispatcher.ResponseData["headers"]): boolean {
    return parseJson(drainReportSchema, readText(headers, "x-load") ?? "")?.leaving ?? false;
}

function readHead(res: Dispatcher.ResponseData): AnswerHead {
    const retryAfterSeconds = readNumber(res.headers, "retry-after");
    return {
        status: res.statusCode,
        contentType: readText(res.headers, "content-type") ?? "application/octet-stream",
        incarnation: readText(res.headers, "x-incarnation"),
        weightsVersion: readText(res.headers, "x-weights-version"),
        cachedTokens: readNumber(res.headers, "x-cached-tokens"),
        load: readLoad(res.headers),
        isNotRun: readText(res.headers, "x-not-run") === "true",
        retryAfterMs: retryAfterSeconds === undefined ? undefined : retryAfterSeconds * 1000,
    };
}

/** Bytes of a body that are held while its reader is paused, each of them a piece in the worst case. */
const maxPausedBytes = 1024;

/**
 * Creates the client.
 *
 * @param options - Time limits and hooks.
 * @returns The client.
 */
export function createUpstreamClient(options: UpstreamClientOptions): UpstreamClient {
    const pools = createConnectionPools(options);

    async function send(call: UpstreamCall, signal: AbortSignal | undefined): Promise<Dispatcher.ResponseData> {
        const { address } = call.upstream;
        const dispatcher = call.needsNewConnection ? pools.openNew(address) : pools.getPooled(address);
        const answer = request(`http://${address}${call.path}`, {
            dispatcher,
            method: call.method as Dispatcher.HttpMethod,
            headers: call.headers,
            headersTimeout: call.timeoutMs,
            highWaterMark: maxPausedBytes,
            ...(call.body === undefined ? {} : { body: call.body }),
            ...(signal === undefined ? {} : { signal }),
        });
        if (call.needsNewConnection) {
            void dispatcher.close().catch(() => undefined);
        }
        return await answer;
    }

    async function open(call: UpstreamCall, signal: AbortSignal | undefined): Promise<OpenResult> {
        options.beforeOpen?.();
        let res: Dispatcher.ResponseData;
        try {
            res = await send(call, signal);
        }
        catch (err) {
            if (signal?.aborted === true) {
                return { kind: "callerGone" };
            }
            const failure = classifyCallError(err);
            if (failure.kind === "lost") {
                pools.discardIdle(call.upstream.address);
            }
            return failure;
        }
        if (readText(res.headers, "x-correlation-id") !== call.correlationId) {
            res.body.on("error", () => undefined).destroy();
            options.onMismatch(call);
            return { kind: "lost", detail: "response has a different correlation id than the request" };
        }
        const head = readHead(res);
        options.onSignal?.(call, { isNotRun: head.isNotRun, isDraining: readDraining(res.headers) });
        return { kind: "answered", head, body: res.body };
    }

    return {
        open,
        discardIdleConnections: pools.discardIdle,
        discardAllIdleConnections: pools.discardAllIdle,
        close: pools.close,
    };
}
