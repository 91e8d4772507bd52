/**
 * @module
 * How long an answer is still worth something to the caller of a request.
 */
import type { ProxyRequest } from "./proxyTypes.js";

/** Times on the instance's clock, in milliseconds. */
export interface CallerDeadlines {
    /** Until then an answer that begins is on time. */
    readonly latencyDeadlineMs: number;
    /** Then the caller leaves if no answer has begun. */
    readonly disconnectMs: number;
}

/** Shortest silence after which callers give up a stream, in milliseconds; the users' protocol says so. */
const leastSilenceMs = 2_000;

/** Silence after which callers give up a stream, in objectives of its route; the users' protocol says so. */
const silenceInObjectives = 4;

/** Silence after which callers give up a stream, in longest pauses of its route; the users' protocol says so. */
const silenceInPauses = 8;

/**
 * Computes until when an answer is on time, and when the caller leaves: at its deadline, or before it when a stream does
 * not begin.
 *
 * @param req - The request.
 * @returns The two times.
 * @example
 * computePatience(req).leavesAtMs - req.arrivedMs; // 2_400 for a stream with pauses of 300 ms
 */
export function computeCallerDeadlines(req: ProxyRequest): CallerDeadlines {
    const { kind, targetLatencyMs, longestPauseMs } = req.route;
    const onTimeUntilMs = Math.min(req.deadlineMs, req.arrivedMs + targetLatencyMs);
    if (kind !== "stream") {
        return { latencyDeadlineMs: onTimeUntilMs, disconnectMs: req.deadlineMs };
    }
    const silenceMs = Math.max(
        leastSilenceMs,
        targetLatencyMs * silenceInObjectives,
        (longestPauseMs ?? 0) * silenceInPauses,
    );
    return { latencyDeadlineMs: onTimeUntilMs, disconnectMs: Math.min(req.deadlineMs, req.arrivedMs + silenceMs) };
}
