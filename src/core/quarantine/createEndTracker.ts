/**
 * @module
 * Tracks this instance's requests on engines, to tell which of them may have caused the end of an engine.
 */
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { EngineEnd, ImplicatedRequest } from "./engineEnd.js";

/** Tracks requests on engines. Times are milliseconds on the instance's clock. */
export interface EndTracker {
    readonly begin: (req: ImplicatedRequest, engine: UpstreamRecord) => void;
    /** Records an event of the request's answer. */
    readonly recordEvent: (requestId: string, nowMs: number) => void;
    /** Records the request's complete answer. */
    readonly recordAnswer: (requestId: string) => void;
    /** Records that the connection ended before the answer was complete. */
    readonly recordConnectionEnd: (requestId: string) => void;
    /** Records that the request has ended for a reason that says nothing about its engine. */
    readonly drop: (requestId: string) => void;
    /** Confirms that an engine has ended; undefined when no request of this instance is implicated. */
    readonly confirmEnd: (engine: string, nowMs: number) => EngineEnd | undefined;
    /** Records that an engine goes on, so that the connections that ended on it implicate nothing. */
    readonly recordAlive: (engine: string) => void;
    /** Forgets all requests, after a pause of the process. */
    readonly clear: () => void;
}

interface TrackedRequest extends ImplicatedRequest {
    readonly engine: string;
    readonly startedAtMs: number;
    firstEventMs: number | undefined;
    isSettled: boolean;
    isConnectionEnded: boolean;
}

/** Time after its first event from which an answer counts as begun without harm, in milliseconds. */
const settlingMs = 500;

/**
 * Creates a tracker without requests.
 *
 * @param onSettled - Receives the shared parts of each prompt whose answer has begun without harm.
 * @returns The tracker.
 * @example
 * const tracker = createEndTracker(parts => history.record(parts, clock.now()));
 * tracker.begin({ id: "r-1", parts: ["style"] }, engine);
 * tracker.confirmEnd(engine.id, clock.now())?.requests.length; // 1
 */
export function createEndTracker(onSettled: (parts: readonly string[]) => void): EndTracker {
    const tracked = new Map<string, TrackedRequest>();

    function settle(req: TrackedRequest): void {
        if (!req.isSettled) {
            req.isSettled = true;
            onSettled(req.parts);
        }
    }

    const listOf = (engine: string) => [...tracked.values()].filter(req => req.engine === engine);

    return {
        begin: ({ id, parts }, { id: engine, startedAtMs }) => {
            const state = { firstEventMs: undefined, isSettled: false, isConnectionEnded: false };
            tracked.set(id, { id, parts, engine, startedAtMs, ...state });
        },
        recordEvent: (requestId, nowMs) => {
            const req = tracked.get(requestId);
            if (req === undefined) {
                return;
            }
            req.firstEventMs ??= nowMs;
            if (nowMs - req.firstEventMs >= settlingMs) {
                settle(req);
            }
        },
        recordAnswer: requestId => {
            const req = tracked.get(requestId);
            if (req !== undefined) {
                settle(req);
                tracked.delete(requestId);
            }
        },
        recordConnectionEnd: requestId => {
            const req = tracked.get(requestId);
            if (req !== undefined) {
                req.isConnectionEnded = true;
            }
        },
        drop: requestId => {
            if (tracked.get(requestId)?.isConnectionEnded === false) {
                tracked.delete(requestId);
            }
        },
        confirmEnd: (engine, nowMs) => {
            const ended = listOf(engine);
            ended.forEach(({ id }) => tracked.delete(id));
            const requests = ended
                .filter(req => !req.isSettled && nowMs - (req.firstEventMs ?? nowMs) < settlingMs)
                .map(({ id, parts }) => ({ id, parts }));
            const startedAtMs = ended[0]?.startedAtMs;
            return startedAtMs === undefined || requests.length === 0 ? undefined : { engine, startedAtMs, requests };
        },
        recordAlive: engine => {
            listOf(engine).filter(req => req.isConnectionEnded).forEach(({ id }) => tracked.delete(id));
        },
        clear: () => tracked.clear(),
    };
}
