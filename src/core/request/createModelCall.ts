/**
 * @module
 * Creates the upstream call for one attempt of a model request.
 */
import { type CacheScope, formatCacheSalt } from "../cache/hashBlocks.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";
import type { UpstreamCall } from "../effects/effectTypes.js";
import type { StreamIdentity } from "./deriveStreamIdentity.js";
import type { ModelRequest } from "./requestTypes.js";

/** Engine priorities by class of service; a lower number is scheduled first. */
const enginePriority = { interactive: 0, standard: 1, batch: 2 } as const;

/** Divisor of a buffered request's remaining time that gives its head timeout, so that it can be retried in time. */
const bufferedAttemptsPerDeadline = 3;

/** Options of one attempt. */
export interface ModelCallOptions {
    readonly upstream: Upstream;
    readonly scope: CacheScope;
    readonly identity: StreamIdentity;
    /** Number of the attempt, from 0; part of the correlation id. */
    readonly attempt: number;
    /** Complete events that the caller has received; the engine continues after them. */
    readonly delivered: number;
    readonly needsNewConnection: boolean;
    readonly nowMs: number;
    readonly silenceTimeoutMs: number;
}

function computeHeadTimeoutMs(req: ModelRequest, remainingMs: number, silenceTimeoutMs: number): number {
    const headTimeoutMs = req.isStreaming
        ? silenceTimeoutMs
        : Math.max(silenceTimeoutMs, Math.floor(remainingMs / bufferedAttemptsPerDeadline));
    return Math.min(remainingMs, headTimeoutMs);
}

/**
 * Creates the call of one attempt. Stream id and seed are equal for all attempts, so that an engine joins a generation
 * that it already runs.
 *
 * @param req - The request.
 * @param options - Upstream, attempt number, stream position and time limits.
 * @returns The call.
 * @example
 * createModelCall(req, options).headers["x-stream-offset"]; // "12"
 */
export function createModelCall(req: ModelRequest, options: ModelCallOptions): UpstreamCall {
    const { identity } = options;
    const remainingMs = Math.max(1, Math.floor(req.deadlineMs - options.nowMs));
    const correlationId = `${req.requestId}/${options.attempt}`;
    return {
        upstream: options.upstream,
        method: "POST",
        path: req.path,
        headers: {
            "content-type": "application/json",
            "x-correlation-id": correlationId,
            "x-stream-id": identity.streamId,
            "x-stream-offset": String(options.delivered),
            "x-seed": String(identity.seed),
            "x-priority": String(enginePriority[req.customer.classOfService]),
            "x-cache-salt": formatCacheSalt(options.scope),
            "x-weights-version": req.model.weightsVersion,
            "x-deadline-ms": String(remainingMs),
        },
        body: JSON.stringify({ ...req.body, seed: identity.seed }),
        correlationId,
        timeoutMs: computeHeadTimeoutMs(req, remainingMs, options.silenceTimeoutMs),
        needsNewConnection: options.needsNewConnection,
        outlivesCaller: false,
    };
}
