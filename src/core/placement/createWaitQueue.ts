/**
 * @module
 * Queue of requests that wait for free capacity on a service's upstreams, in the order of placement.
 */
import { createQueueProgress } from "./createQueueProgress.js";
import { createUrgencyLevels } from "./createUrgencyLevels.js";

/** One waiting request. Times are milliseconds on the instance's clock. */
export interface WaitingRequest {
    /** Tells it apart from all others of its queue. */
    readonly id: string;
    /** Customers share the room for requests of a priority; "" where none is known. */
    readonly customer: string;
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
    readonly countByPriority: () => ReadonlyMap<number, number>;
}

/** Options of {@link createWaitQueue}. */
export interface WaitQueueOptions {
    /** Called when a request went before more urgent ones, since its priority had had too little. */
    readonly onGuaranteedTurn?: (turn: GuaranteedTurn) => void;
}

/** A request that went before more urgent ones. */
export interface GuaranteedTurn {
    readonly priority: number;
    readonly customer: string;
    readonly isLate: boolean;
    /** Number of requests that wait, by priority. */
    readonly waiting: ReadonlyMap<number, number>;
}

/**
 * Failed attempts after which a dispatch stops. A small request may fit where a larger one before it did not, but
 * trying the entire queue at each end of a request would take too long under the heaviest load.
 */
const maxFailedAttempts = 8;

/** Failed attempts of one dispatch. */
interface Attempts {
    readonly failed: Set<string>;
    /** Those that count towards the maximum. */
    counted: number;
}

/**
 * Creates an empty queue, in the order of {@link createUrgencyLevels}.
 *
 * @param options - What is called when requests are placed out of the order of priorities.
 * @returns The queue.
 * @example
 * const queue = createWaitQueue();
 * const times = { latencyDeadlineMs: 300, disconnectMs: 2_400 };
 * queue.enqueue({ id: "r-1", customer: "clinic", priority: 0, size: 900, ...times, tryPlace: () => false }, clock.now());
 * queue.size(); // 1
 */
export function createWaitQueue({ onGuaranteedTurn = () => undefined }: WaitQueueOptions = {}): WaitQueue {
    const levels = createUrgencyLevels();
    let isDispatching = false;
    const onTimeProgress = createQueueProgress();
    const lateProgress = createQueueProgress();
    const allProgress = createQueueProgress();

    function enqueue(added: WaitingRequest, nowMs: number): void {
        if (levels.size() === 0) {
            onTimeProgress.start(nowMs);
            lateProgress.start(nowMs);
            allProgress.start(nowMs);
        }
        levels.add(added, nowMs);
    }

    /** Places one request; returns false when none fits. Requests that do not fit are not tried again in the same dispatch. */
    function placeNext(attempts: Attempts, nowMs: number): boolean {
        const placed = levels.placeNext((waiting, isOwnTurn) => {
            if (attempts.failed.has(waiting.id)) {
                return false;
            }
            const isPlaced = waiting.tryPlace();
            if (!isPlaced) {
                attempts.failed.add(waiting.id);
                attempts.counted += isOwnTurn ? 0 : 1;
            }
            return isPlaced;
        }, () => attempts.counted < maxFailedAttempts);
        if (placed === undefined) {
            return false;
        }
        const { waiting: { size, priority, customer }, isLate, isGuaranteed } = placed;
        (isLate ? lateProgress : onTimeProgress).recordPlaced(size, nowMs);
        allProgress.recordPlaced(size, nowMs);
        if (isGuaranteed) {
            onGuaranteedTurn({ priority, customer, isLate, waiting: levels.countByPriority() });
        }
        return true;
    }

    function dispatch(nowMs: number): void {
        if (isDispatching || levels.size() === 0) {
            return;
        }
        isDispatching = true;
        levels.update(nowMs);
        const attempts = { failed: new Set<string>(), counted: 0 };
        while (placeNext(attempts, nowMs)) {
            // The next one.
        }
        isDispatching = false;
    }

    /**
     * Requests that are late wait behind those on time: they get what these leave, and all of the capacity once none of
     * these waits. When no request was placed at all, the upstreams are stalled, and nothing is predicted.
     */
    function predictWaitMs(id: string, nowMs: number): number | undefined {
        levels.update(nowMs);
        const request = levels.find(id);
        if (request === undefined) {
            return undefined;
        }
        const sizeAhead = levels.listAhead(id).reduce((sum, one) => sum + one.size, 0);
        if (nowMs <= request.latencyDeadlineMs) {
            const onTimeMs = onTimeProgress.predictWaitMs(sizeAhead, nowMs);
            return onTimeMs === Infinity ? undefined : onTimeMs;
        }
        const allMs = allProgress.predictWaitMs(sizeAhead, nowMs);
        if (allMs === Infinity) {
            return undefined;
        }
        return levels.countOnTime() > 0 ? lateProgress.predictWaitMs(sizeAhead, nowMs) : allMs;
    }

    function countAhead(id: string, nowMs: number): number {
        levels.update(nowMs);
        const request = levels.find(id);
        const isLate = request !== undefined && nowMs > request.latencyDeadlineMs;
        return levels.listAhead(id).length + (isLate ? levels.countOnTime() : 0);
    }

    return {
        enqueue,
        remove: levels.remove,
        dispatch,
        predictWaitMs,
        countAhead,
        size: levels.size,
        countByPriority: levels.countByPriority,
    };
}
