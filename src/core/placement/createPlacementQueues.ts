/**
 * @module
 * Holds the requests that find no free capacity, and refuses those that will not find any in time. It answers a load that
 * exceeds the capacity of a service: a caller whose request cannot be served learns it while there is time to come back.
 */
import { createRefusal } from "../errors/createRefusal.js";
import { computeCallerDeadlines } from "../proxy/computeCallerDeadlines.js";
import type { PlaceResult } from "../proxy/proxyEffects.js";
import type { Placement, ProxyRequest } from "../proxy/proxyTypes.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { countOwnTokens, countSharedTokens } from "./_lib/countPromptTokens.js";
import { createWaitQueue, type WaitQueue } from "./createWaitQueue.js";

/** A request that waits for capacity. */
export interface PlacementWait {
    readonly req: ProxyRequest;
    /** Whether its caller has a part of the stream: it waits until the deadline, since a refusal cuts it. */
    readonly hasStarted?: boolean;
    /** Places the request if an upstream has free capacity. */
    readonly tryPlace: () => Placement | undefined;
    /** Describes the load for a refusal. */
    readonly describeLoad: () => string;
    /**
     * Predicts the time until the request gets a permit of a rate-limited upstream after the requests that go before it; undefined
     * when it does not need one or nothing is known.
     */
    readonly predictPermitMs: (countAhead: () => number) => number | undefined;
    readonly onResult: (result: PlaceResult) => void;
}

/** The queues of all services. */
export interface PlacementQueues {
    /** Lets a request wait, or refuses it at once; `onResult` is called once. Returns a function that ends the wait. */
    readonly wait: (wait: PlacementWait) => CancelTimer;
    /** Places waiting requests of a service. */
    readonly dispatch: (service: string) => void;
    readonly dispatchAll: () => void;
    /** Places waiting requests, and refuses those of whom a change has shown that they wait in vain. */
    readonly recheck: () => void;
    /** Whether requests of a service wait. */
    readonly isWaiting: (service: string) => boolean;
    readonly countWaiting: () => number;
}

/** Time from the placement of a request to the start of its answer: the prefill of ten thousand tokens. */
const minServiceMs = 150;

/** Fraction of the time until the caller's timeout for which a request may wait for capacity, over all its sends. */
const maxWaitFraction = 0.6;

/** Minimum delay after which a refused caller may find free capacity. */
const minRetryAfterMs = 500;

/** Maximum delay that is asked of a refused caller; the same where rate limits of upstreams tell the wait. */
const maxRetryAfterMs = 2_000;
const maxPermitRetryAfterMs = 10_000;

/** Multiple of its expected wait for a permit that a request must have: permits come to one instance at irregular times. */
const permitWaitMargin = 2;

function sizeOf({ prompt }: ProxyRequest): number {
    return prompt === undefined ? 1 : countOwnTokens(prompt) + countSharedTokens(prompt);
}

function chooseRetryAfterMs(predictedMs: number, maxMs: number): number {
    return Math.max(minRetryAfterMs, Math.min(maxMs, Math.round(predictedMs)));
}

function describeWait(predictedMs: number): string {
    return Number.isFinite(predictedMs)
        ? `predicted wait ${Math.round(predictedMs)} ms`
        : "no late request was placed lately";
}

/**
 * Creates empty queues.
 *
 * @param clock - The clock.
 * @returns The queues.
 * @example
 * const cancel = createPlacementQueues(clock).wait({ req, tryPlace, describeLoad, onResult });
 */
export function createPlacementQueues(clock: Clock): PlacementQueues {
    const queues = new Map<string, WaitQueue>();
    /** Checks of the requests that wait, whether they wait in vain. */
    const checks = new Set<() => void>();

    function queueOf(service: string): WaitQueue {
        const queue = queues.get(service) ?? createWaitQueue();
        queues.set(service, queue);
        return queue;
    }

    const dispatchAll = () => queues.forEach(queue => queue.dispatch(clock.now()));

    function wait(waiting: PlacementWait): CancelTimer {
        const { req, hasStarted = false, tryPlace, describeLoad, predictPermitMs, onResult } = waiting;
        const queue = queueOf(req.service);
        const { latencyDeadlineMs, disconnectMs: startDueMs } = computeCallerDeadlines(req);
        const disconnectMs = hasStarted ? req.deadlineMs : startDueMs;
        const lastStartMs = latencyDeadlineMs - minServiceMs;
        const patienceMs = (disconnectMs - req.arrivedMs) * maxWaitFraction;
        const limitMs = hasStarted
            ? req.deadlineMs
            : Math.min(disconnectMs - minServiceMs, req.arrivedMs + patienceMs);
        const timers: CancelTimer[] = [];

        function end(): void {
            timers.forEach(cancel => cancel());
            checks.delete(refuseIfHopeless);
            queue.remove(req.id);
        }

        function refuse(retryAfterMs: number, reason: string): void {
            end();
            const refusal = createRefusal("overloaded", `${describeLoad()}; ${reason}`, { retryAfterMs });
            onResult({ kind: "refused", refusal });
        }

        /** Refuses the request when the observed progress of the queue does not reach it in time. */
        function refuseIfHopeless(): void {
            if (hasStarted) {
                return;
            }
            const nowMs = clock.now();
            const permitMs = predictPermitMs(() => queue.countAhead(req.id, nowMs));
            if (permitMs !== undefined && nowMs + permitMs * permitWaitMargin > limitMs) {
                const retryAfterMs = chooseRetryAfterMs(permitMs, maxPermitRetryAfterMs);
                refuse(retryAfterMs, `rate limits of all upstreams; ${describeWait(permitMs)}`);
                return;
            }
            const predictedMs = queue.predictWaitMs(req.id, nowMs);
            if (predictedMs !== undefined && nowMs + predictedMs > limitMs) {
                refuse(chooseRetryAfterMs(predictedMs, maxRetryAfterMs), describeWait(predictedMs));
            }
        }

        queue.enqueue({
            id: req.id,
            priority: req.priority,
            size: sizeOf(req),
            latencyDeadlineMs: lastStartMs,
            disconnectMs,
            tryPlace: () => {
                const placement = tryPlace();
                if (placement === undefined) {
                    return false;
                }
                timers.forEach(cancel => cancel());
                checks.delete(refuseIfHopeless);
                onResult({ kind: "placed", placement });
                return true;
            },
        }, clock.now());
        timers.push(
            clock.after(Math.max(0, limitMs - clock.now()), () => refuse(minRetryAfterMs, "waited as long as it may")),
        );
        if (lastStartMs > clock.now()) {
            timers.push(clock.after(lastStartMs - clock.now() + 1, refuseIfHopeless));
        }
        checks.add(refuseIfHopeless);
        refuseIfHopeless();
        return end;
    }

    return {
        wait,
        dispatch: service => queues.get(service)?.dispatch(clock.now()),
        dispatchAll,
        recheck: () => {
            dispatchAll();
            [...checks].forEach(check => check());
        },
        isWaiting: service => (queues.get(service)?.size() ?? 0) > 0,
        countWaiting: () => [...queues.values()].reduce((sum, queue) => sum + queue.size(), 0),
    };
}
