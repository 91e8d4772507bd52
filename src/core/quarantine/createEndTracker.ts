/**
 * @module
 * Tracks this instance's requests on engines, to tell which of them may have caused the end of an engine.
 */
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { EngineEnd, ImplicatedRequest } from "./engineEnd.js";

/** A request that is sent. */
export type SentRequest = Pick<ImplicatedRequest, "id" | "parts">;

/** One send of a request to an engine. */
export interface TrackedSend {
    /** Records an event of the answer. */
    readonly recordEvent: (nowMs: number) => void;
    /** Records the complete answer. */
    readonly recordAnswer: () => void;
    /** Records that the connection ended before the answer was complete. */
    readonly recordConnectionEnd: () => void;
    /** Records that the send has ended; it is kept if its connection ended, until it is known what became of the engine. */
    readonly end: () => void;
}

/** Tracks requests on engines. Times are milliseconds on the instance's clock. */
export interface EndTracker {
    /** Begins to track a send. A request may be sent again while it is not known what became of its first engine. */
    readonly begin: (req: SentRequest, engine: UpstreamRecord, nowMs: number) => TrackedSend;
    /** Confirms that an engine has ended; undefined when no request of this instance is implicated. */
    readonly confirmEnd: (engine: string, nowMs: number) => EngineEnd | undefined;
    /** Records that an engine goes on, so that the connections that ended on it implicate nothing. */
    readonly recordAlive: (engine: string) => void;
    /** Forgets all sends, after a pause of the process. */
    readonly clear: () => void;
}

interface TrackedRequest extends SentRequest {
    readonly engine: string;
    readonly startedAtMs: number;
    readonly sentMs: number;
    firstEventMs: number | undefined;
    isSettled: boolean;
    isConnectionEnded: boolean;
}

/** Time after its first event from which an answer counts as begun without harm, in milliseconds. */
const settlingMs = 250;

/**
 * Creates a tracker without requests.
 *
 * @param onSettled - Receives the shared parts of each prompt whose answer has begun without harm, and when it was sent.
 * @returns The tracker.
 * @example
 * const tracker = createEndTracker((parts, sentMs) => history.record(parts, sentMs, clock.now()));
 * tracker.begin({ id: "r-1", parts: ["style"] }, engine, clock.now());
 * tracker.confirmEnd(engine.id, clock.now())?.requests.length; // 1
 */
export function createEndTracker(onSettled: (parts: readonly string[], sentMs: number) => void): EndTracker {
    const tracked = new Set<TrackedRequest>();

    function settle(req: TrackedRequest): void {
        if (!req.isSettled) {
            req.isSettled = true;
            onSettled(req.parts, req.sentMs);
        }
    }

    function recordEvent(req: TrackedRequest, nowMs: number): void {
        req.firstEventMs ??= nowMs;
        if (nowMs - req.firstEventMs >= settlingMs) {
            settle(req);
        }
    }

    const listOf = (engine: string) => [...tracked].filter(req => req.engine === engine);

    return {
        begin: ({ id, parts }, { id: engine, startedAtMs }, sentMs) => {
            const state = { firstEventMs: undefined, isSettled: false, isConnectionEnded: false };
            const req: TrackedRequest = { id, parts, engine, startedAtMs, sentMs, ...state };
            tracked.add(req);
            return {
                recordEvent: nowMs => recordEvent(req, nowMs),
                recordAnswer: () => {
                    settle(req);
                    tracked.delete(req);
                },
                recordConnectionEnd: () => {
                    req.isConnectionEnded = true;
                },
                end: () => {
                    if (!req.isConnectionEnded) {
                        tracked.delete(req);
                    }
                },
            };
        },
        confirmEnd: (engine, nowMs) => {
            const ended = listOf(engine);
            ended.forEach(req => tracked.delete(req));
            const requests = ended
                .filter(req => !req.isSettled && nowMs - (req.firstEventMs ?? nowMs) < settlingMs)
                .map(({ id, parts, firstEventMs }) => ({
                    id,
                    parts,
                    hasEvents: firstEventMs !== undefined,
                    isProbe: false,
                }));
            const startedAtMs = ended[0]?.startedAtMs;
            return startedAtMs === undefined || requests.length === 0 ? undefined : { engine, startedAtMs, requests };
        },
        recordAlive: engine => {
            listOf(engine).filter(req => req.isConnectionEnded).forEach(req => tracked.delete(req));
        },
        clear: () => tracked.clear(),
    };
}
