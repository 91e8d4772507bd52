/**
 * @module
 * The times by which the caller of a request expects an answer and after which it disconnects.
 */
import type { ProxyRequest } from "./proxyTypes.js";

/** The caller's deadlines, in milliseconds on the instance's clock. */
export interface CallerDeadlines {
    /** Latest start of an answer that meets the route's target latency. */
    readonly latencyDeadlineMs: number;
    /** When the caller's own timeout closes the connection if no answer has started. */
    readonly disconnectMs: number;
}

/** Minimum idle time after which callers abandon a stream; set by the users' protocol. */
const minStreamIdleMs = 2_000;

/** The same idle time as a multiple of the route's target latency; set by the users' protocol. */
const streamIdlePerTargetLatency = 4;

/** The same idle time as a multiple of the route's longest pause; set by the users' protocol. */
const streamIdlePerPause = 8;

/**
 * Computes the latest start of an answer that meets the target latency, and the time of the caller's own timeout: its
 * deadline, or earlier for a stream that does not start.
 *
 * @param req - The request.
 * @returns The two deadlines.
 * @example
 * computeCallerDeadlines(req).disconnectMs - req.arrivedMs; // 2_400 for a stream with pauses of 300 ms
 */
export function computeCallerDeadlines(req: ProxyRequest): CallerDeadlines {
    const { kind, targetLatencyMs, longestPauseMs } = req.route;
    const latencyDeadlineMs = Math.min(req.deadlineMs, req.arrivedMs + targetLatencyMs);
    if (kind !== "stream") {
        return { latencyDeadlineMs, disconnectMs: req.deadlineMs };
    }
    const streamIdleMs = Math.max(
        minStreamIdleMs,
        targetLatencyMs * streamIdlePerTargetLatency,
        (longestPauseMs ?? 0) * streamIdlePerPause,
    );
    return { latencyDeadlineMs, disconnectMs: Math.min(req.deadlineMs, req.arrivedMs + streamIdleMs) };
}
