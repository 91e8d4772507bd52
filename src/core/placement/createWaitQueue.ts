/**
 * @module
 * Queue of requests that wait for free capacity on a service's upstreams, in the order of placement.
 */
import { createQueueProgress } from "./createQueueProgress.js";

/** One waiting request. Times are milliseconds on the instance's clock. */
export interface WaitingRequest {
    readonly id: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Memory that the request needs, in tokens. */
    readonly size: number;
    /** Latest time of placement at which the request still meets its latency objective. */
    readonly latencyDeadlineMs: number;
    /** Expected time of the caller's own timeout. */
    readonly disconnectMs: number;
    /** Tries to place the request; returns true when it no longer waits. */
    readonly tryPlace: () => boolean;
}

/** Queue of the requests of one service. */
export interface WaitQueue {
    readonly enqueue: (waiting: WaitingRequest, nowMs: number) => void;
    readonly remove: (id: string) => void;
    /** Places the waiting requests that fit into the capacity free at `nowMs`. */
    readonly dispatch: (nowMs: number) => void;
    /** Predicts how long a waiting request will still wait, at least; undefined when too little was observed. */
    readonly predictWaitMs: (id: string, nowMs: number) => number | undefined;
    /** Number of requests that are placed before a waiting one. */
    readonly countAhead: (id: string, nowMs: number) => number;
    readonly size: () => number;
}

/**
 * Failed attempts after which a dispatch stops. A small request may fit where a larger one before it did not, but
 * trying the entire queue at each end of a request would take too long under the heaviest load.
 */
const maxFailedAttempts = 8;

function isBefore(left: WaitingRequest, right: WaitingRequest): boolean {
    if (left.priority !== right.priority) {
        return left.priority < right.priority;
    }
    return left.disconnectMs < right.disconnectMs;
}

/**
 * Creates an empty queue. Requests that can still meet their latency objective go before those that cannot: under
 * overload, serving in the order of arrival would make all of them late. Within both groups, the most urgent priority
 * goes first, and among equals the request with the earliest caller timeout.
 *
 * @returns The queue.
 * @example
 * const queue = createWaitQueue();
 * const times = { latencyDeadlineMs: 300, disconnectMs: 2_400 };
 * queue.enqueue({ id: "r-1", priority: 0, size: 900, ...times, tryPlace: () => false }, clock.now());
 * queue.size(); // 1
 */
export function createWaitQueue(): WaitQueue {
    let waiting: readonly WaitingRequest[] = [];
    let isDispatching = false;
    const onTimeProgress = createQueueProgress();
    const lateProgress = createQueueProgress();
    const allProgress = createQueueProgress();

    function remove(id: string): void {
        waiting = waiting.filter(one => one.id !== id);
    }

    const isOnTime = (one: WaitingRequest, nowMs: number) => nowMs <= one.latencyDeadlineMs;

    function order(nowMs: number): readonly WaitingRequest[] {
        return [
            ...waiting.filter(one => isOnTime(one, nowMs)),
            ...waiting.filter(one => !isOnTime(one, nowMs)),
        ];
    }

    function enqueue(added: WaitingRequest, nowMs: number): void {
        if (waiting.length === 0) {
            onTimeProgress.start(nowMs);
            lateProgress.start(nowMs);
            allProgress.start(nowMs);
        }
        const index = waiting.findIndex(one => isBefore(added, one));
        const at = index === -1 ? waiting.length : index;
        waiting = [...waiting.slice(0, at), added, ...waiting.slice(at)];
    }

    function dispatch(nowMs: number): void {
        if (isDispatching || waiting.length === 0) {
            return;
        }
        isDispatching = true;
        let failedAttempts = 0;
        for (const one of order(nowMs)) {
            if (failedAttempts >= maxFailedAttempts) {
                break;
            }
            if (one.tryPlace()) {
                remove(one.id);
                (isOnTime(one, nowMs) ? onTimeProgress : lateProgress).recordPlaced(one.size, nowMs);
                allProgress.recordPlaced(one.size, nowMs);
            }
            else {
                failedAttempts += 1;
            }
        }
        isDispatching = false;
    }

    /**
     * Requests that are late wait behind those on time: they get what these leave, and all of the capacity once none of
     * these waits. When no request was placed at all, the upstreams are stalled, and nothing is predicted.
     */
    function predictWaitMs(id: string, nowMs: number): number | undefined {
        const position = waiting.findIndex(one => one.id === id);
        const request = waiting[position];
        if (request === undefined) {
            return undefined;
        }
        const group = isOnTime(request, nowMs);
        const ahead = waiting.slice(0, position).filter(one => isOnTime(one, nowMs) === group);
        const sizeAhead = ahead.reduce((sum, one) => sum + one.size, 0);
        if (group) {
            const onTimeMs = onTimeProgress.predictWaitMs(sizeAhead, nowMs);
            return onTimeMs === Infinity ? undefined : onTimeMs;
        }
        const allMs = allProgress.predictWaitMs(sizeAhead, nowMs);
        if (allMs === Infinity) {
            return undefined;
        }
        const hasOnTime = waiting.some(one => isOnTime(one, nowMs));
        return hasOnTime ? lateProgress.predictWaitMs(sizeAhead, nowMs) : allMs;
    }

    return {
        enqueue,
        remove,
        dispatch,
        predictWaitMs,
        countAhead: (id, nowMs) => Math.max(0, order(nowMs).findIndex(one => one.id === id)),
        size: () => waiting.length,
    };
}
