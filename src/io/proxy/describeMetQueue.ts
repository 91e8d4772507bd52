/**
 * @module
 * Log fields of a send that found others waiting at its upstream: what was believed of the load beside what is stated.
 */
import type { StatedLoad } from "../../core/load/loadTypes.js";
import type { Placement, ProxyRequest } from "../../core/proxy/proxyTypes.js";
import { describePlacedLoad } from "./describeSend.js";

/** Expected number of waiting requests from which an instance knew of a queue. */
const knownWaiting = 0.5;

/** A send that found others waiting. */
export interface MetQueue {
    /** Whether the instance expected at least one waiting request there when it chose the upstream. */
    readonly isExpected: boolean;
    readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Describes the queue that a send met.
 *
 * @param req - The request.
 * @param placement - Where it was sent, and the load by which that upstream was chosen.
 * @param stated - What the upstream states in its answer.
 * @param tookMs - Time from the send to the head of the answer, in milliseconds.
 * @returns The queue; undefined when nothing waits there.
 * @example
 * describeMetQueue(req, placement, { running: 8, waiting: 0, slots: 24, pace: 1 }, 40); // undefined
 */
export function describeMetQueue(
    req: ProxyRequest,
    placement: Placement,
    { running, waiting, pace }: StatedLoad,
    tookMs: number,
): MetQueue | undefined {
    if (waiting === 0) {
        return undefined;
    }
    const { upstream, load } = placement;
    return {
        isExpected: (load?.estimate.waiting ?? 0) >= knownWaiting,
        fields: {
            requestId: req.id,
            upstream: upstream.id,
            ...describePlacedLoad(placement),
            running,
            waiting,
            pace,
            tookMs: Math.round(tookMs),
        },
    };
}
