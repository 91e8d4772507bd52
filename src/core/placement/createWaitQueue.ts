/**
 * @module
 * Requests that wait for room at a service's upstreams, in the order in which they are placed.
 */

/** One waiting request. Times are milliseconds on the instance's clock. */
export interface WaitingRequest {
    readonly id: string;
    /** 0 is placed first. */
    readonly priority: number;
    /** Until then the request is placed in time for its objective. */
    readonly latencyDeadlineMs: number;
    readonly disconnectMs: number;
    /** Tries to place the request; true when it no longer waits. */
    readonly tryPlace: () => boolean;
}

/** The line of one service. */
export interface WaitQueue {
    readonly enqueue: (waiting: WaitingRequest) => void;
    readonly remove: (id: string) => void;
    /** Places as many requests as there is room for, as of a time. */
    readonly dispatch: (nowMs: number) => void;
    readonly size: () => number;
}

/**
 * Requests in a row that may find no room before the rest is left waiting. A small request may fit where the one before
 * it did not; looking at all of them at each end of a request would take too long on the heaviest days.
 */
const maxMisses = 8;

function isBefore(left: WaitingRequest, right: WaitingRequest): boolean {
    if (left.priority !== right.priority) {
        return left.priority < right.priority;
    }
    return left.disconnectMs < right.disconnectMs;
}

/**
 * Creates an empty line. Requests that can still be on time go before those that cannot: under a load that does not fit,
 * serving them in the order of their arrival would make all of them late. Within both, the most urgent priority goes
 * first, and among equals the one whose caller leaves first.
 *
 * @returns The line.
 * @example
 * const line = createWaitingLine();
 * line.join({ id: "r-1", priority: 0, onTimeUntilMs: 300, leavesAtMs: 2_400, tryPlace: () => false });
 */
export function createWaitQueue(): WaitQueue {
    let waiting: readonly WaitingRequest[] = [];
    let isAdvancing = false;

    function leave(id: string): void {
        waiting = waiting.filter(one => one.id !== id);
    }

    function order(nowMs: number): readonly WaitingRequest[] {
        const isOnTime = (one: WaitingRequest) => nowMs <= one.latencyDeadlineMs;
        return [...waiting.filter(isOnTime), ...waiting.filter(one => !isOnTime(one))];
    }

    function advance(nowMs: number): void {
        if (isAdvancing || waiting.length === 0) {
            return;
        }
        isAdvancing = true;
        let misses = 0;
        for (const one of order(nowMs)) {
            if (misses >= maxMisses) {
                break;
            }
            if (one.tryPlace()) {
                leave(one.id);
            }
            else {
                misses += 1;
            }
        }
        isAdvancing = false;
    }

    return {
        enqueue: joined => {
            const index = waiting.findIndex(one => isBefore(joined, one));
            const at = index === -1 ? waiting.length : index;
            waiting = [...waiting.slice(0, at), joined, ...waiting.slice(at)];
        },
        remove: leave,
        dispatch: advance,
        size: () => waiting.length,
    };
}
