/**
 * @module
 * Queue of requests that wait for free capacity on a service's upstreams, in the order of placement.
 */

/** One waiting request. Times are milliseconds on the instance's clock. */
export interface WaitingRequest {
    readonly id: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Latest time of placement at which the request still meets its latency objective. */
    readonly latencyDeadlineMs: number;
    /** Expected time of the caller's own timeout. */
    readonly disconnectMs: number;
    /** Tries to place the request; returns true when it no longer waits. */
    readonly tryPlace: () => boolean;
}

/** Queue of the requests of one service. */
export interface WaitQueue {
    readonly enqueue: (waiting: WaitingRequest) => void;
    readonly remove: (id: string) => void;
    /** Places the waiting requests that fit into the capacity free at `nowMs`. */
    readonly dispatch: (nowMs: number) => void;
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
 * queue.enqueue({ id: "r-1", priority: 0, latencyDeadlineMs: 300, disconnectMs: 2_400, tryPlace: () => false });
 * queue.size(); // 1
 */
export function createWaitQueue(): WaitQueue {
    let waiting: readonly WaitingRequest[] = [];
    let isDispatching = false;

    function remove(id: string): void {
        waiting = waiting.filter(one => one.id !== id);
    }

    function order(nowMs: number): readonly WaitingRequest[] {
        const isOnTime = (one: WaitingRequest) => nowMs <= one.latencyDeadlineMs;
        return [...waiting.filter(isOnTime), ...waiting.filter(one => !isOnTime(one))];
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
            }
            else {
                failedAttempts += 1;
            }
        }
        isDispatching = false;
    }

    return {
        enqueue: added => {
            const index = waiting.findIndex(one => isBefore(added, one));
            const at = index === -1 ? waiting.length : index;
            waiting = [...waiting.slice(0, at), added, ...waiting.slice(at)];
        },
        remove,
        dispatch,
        size: () => waiting.length,
    };
}
