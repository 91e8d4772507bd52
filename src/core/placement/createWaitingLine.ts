/**
 * @module
 * Requests that wait for room at a service's upstreams, in the order in which they are placed.
 */

/** One waiting request. Times are milliseconds on the instance's clock. */
export interface WaitingRequest {
    readonly id: string;
    /** 0 is placed first. */
    readonly priority: number;
    readonly deadlineMs: number;
    /** Tries to place the request; true when it no longer waits. */
    readonly tryPlace: () => boolean;
}

/** The line of one service. */
export interface WaitingLine {
    readonly join: (waiting: WaitingRequest) => void;
    readonly leave: (id: string) => void;
    /** Places as many requests as there is room for. */
    readonly advance: () => void;
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
    return left.deadlineMs < right.deadlineMs;
}

/**
 * Creates an empty line: the most urgent priority first, and the nearest deadline first among equals.
 *
 * @returns The line.
 * @example
 * const line = createWaitingLine();
 * line.join({ id: "r-1", priority: 0, deadlineMs: 4_000, tryPlace: () => false });
 */
export function createWaitingLine(): WaitingLine {
    let waiting: readonly WaitingRequest[] = [];
    let isAdvancing = false;

    function leave(id: string): void {
        waiting = waiting.filter(one => one.id !== id);
    }

    function advance(): void {
        if (isAdvancing) {
            return;
        }
        isAdvancing = true;
        let misses = 0;
        for (const one of waiting) {
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
        join: joined => {
            const index = waiting.findIndex(one => isBefore(joined, one));
            const at = index === -1 ? waiting.length : index;
            waiting = [...waiting.slice(0, at), joined, ...waiting.slice(at)];
        },
        leave,
        advance,
        size: () => waiting.length,
    };
}
