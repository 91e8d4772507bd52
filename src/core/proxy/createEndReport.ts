/**
 * @module
 * The end of one request that was read from a caller's connection. Each request is reported exactly once.
 */
import type { ErrorKind } from "../errors/errorTable.js";
import type { Route } from "../routes/routingTable.js";

/** How a request ended.
 *
 * - `answered`: it has its upstream's answer.
 * - `cut`: its stream was aborted.
 * - an error kind: it was refused.
 * - `callerGone`: its caller disconnected before it had its final answer.
 * - `stopped`: the instance closed its connection before it had its final answer. */
export type RequestResult = ErrorKind | "answered" | "cut" | "callerGone" | "stopped";

/** The end of a request. */
export interface RequestEnd {
    readonly requestId: string;
    /** Name of its route; undefined if none was found. */
    readonly route: string | undefined;
    readonly kind: Route["kind"] | undefined;
    readonly result: RequestResult;
    /** Whether its answer was written out before its connection closed; callers read it from there. */
    readonly isWritten: boolean;
    /** Time from its arrival to its final answer, or to the close of its connection, in milliseconds. */
    readonly tookMs: number;
    /** Time from its arrival to the first part of the stream that answers it, in milliseconds; undefined without one. */
    readonly streamStartMs: number | undefined;
}

/** Collects what is known of a request until it is over. */
export interface EndReport {
    /** Records which request it is. */
    readonly identify: (requestId: string, route: Pick<Route, "name" | "kind"> | undefined) => void;
    /** Records that the stream that answers it starts. */
    readonly recordStreamStart: (nowMs: number) => void;
    /** Records its final answer; further calls have no effect. */
    readonly decide: (result: RequestResult, nowMs: number) => void;
    /** Reports its end: with `undecided` as its result if it has no final answer. Further calls have no effect. */
    readonly close: (isWritten: boolean, undecided: RequestResult, nowMs: number) => void;
}

/**
 * Creates the report of a request in progress.
 *
 * @param arrivedMs - When the request arrived, in milliseconds on the instance's clock.
 * @param onEnd - Receives the end, once.
 * @returns The report.
 * @example
 * const report = createEndReport(clock.now(), writeEnd);
 * report.identify("attempt-1", route);
 * report.decide("answered", clock.now());
 * report.close(true, "callerGone", clock.now()); // writeEnd receives "answered"
 */
export function createEndReport(arrivedMs: number, onEnd: (end: RequestEnd) => void): EndReport {
    let requestId = "";
    let route: Pick<Route, "name" | "kind"> | undefined;
    let decided: { readonly result: RequestResult; readonly atMs: number; } | undefined;
    let streamStartMs: number | undefined;
    let isClosed = false;
    return {
        identify: (id, found) => {
            requestId = id;
            route = found;
        },
        recordStreamStart: nowMs => {
            streamStartMs = Math.round(nowMs - arrivedMs);
        },
        decide: (result, nowMs) => {
            decided ??= { result, atMs: nowMs };
        },
        close: (isWritten, undecided, nowMs) => {
            if (isClosed) {
                return;
            }
            isClosed = true;
            const { result, atMs } = decided ?? { result: undecided, atMs: nowMs };
            onEnd({
                requestId,
                route: route?.name,
                kind: route?.kind,
                result,
                isWritten,
                tookMs: Math.round(atMs - arrivedMs),
                streamStartMs,
            });
        },
    };
}
