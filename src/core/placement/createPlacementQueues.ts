/**
 * @module
 * Holds the requests that find no free capacity, and refuses those that will not find any in time. It answers a load that
 * exceeds the capacity of a service: a caller whose request cannot be served learns it while there is time to come back.
 */
import { spreadDelay } from "../_lib/spreadDelay.js";
import { createRefusal } from "../errors/createRefusal.js";
import { computeCallerDeadlines } from "../proxy/computeCallerDeadlines.js";
import type { PlaceResult } from "../proxy/proxyEffects.js";
import type { Placement, ProxyRequest } from "../proxy/proxyTypes.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { countOwnTokens, countSharedTokens } from "./_lib/countPromptTokens.js";
import { minStartMs } from "./_lib/minStartMs.js";
import { createWaitQueue, type GuaranteedTurn, type WaitQueue } from "./createWaitQueue.js";

/** A request that waits for capacity. */
export interface PlacementWait {
    readonly req: ProxyRequest;
    /** Whether its caller has a part of the stream: it waits until the deadline, since a refusal cuts it. */
    readonly hasStarted?: boolean;
    /** Places the request if an upstream has free capacity. */
    readonly tryPlace: () => Placement | undefined;
    /** Whether an upstream has room that is left to more urgent requests for now: the request is tried again as time passes. */
    readonly isWithheld: () => boolean;
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
    /** Number of requests that wait, by priority. */
    readonly countByPriority: () => ReadonlyMap<number, number>;
}

/** A placement out of the order of priorities. */
export interface ServiceTurn extends GuaranteedTurn {
    readonly service: string;
}

/** Fraction of the time until the caller's timeout for which a request may wait for capacity, over all its sends. */
const maxWaitFraction = 0.6;

/** Minimum delay after which a refused caller may find free capacity. */
const minRetryAfterMs = 500;

/** Maximum delay that is asked of a refused caller; the same where rate limits of upstreams tell the wait. */
const maxRetryAfterMs = 2_000;
const maxPermitRetryAfterMs = 10_000;

/** Tries of a request over its time until it is due, while room is left to more urgent ones. */
const withheldTries = 8;

/** Minimum interval between two of these tries, in milliseconds. */
const minWithheldIntervalMs = 20;

/** Multiple of its expected wait for a permit that a request must have: permits come to one instance at irregular times. */
const permitWaitMargin = 2;

function sizeOf({ prompt }: ProxyRequest): number {
    return prompt === undefined ? 1 : countOwnTokens(prompt) + countSharedTokens(prompt);
}

/** Not earlier than predicted, as far as a caller may be told. */
function chooseRetryAfterMs(predictedMs: number, maxMs: number, requestId: string): number {
    return spreadDelay(Math.max(minRetryAfterMs, Math.min(maxMs, predictedMs)), requestId);
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
 * @param onGuaranteedTurn - Called when a request goes before more urgent ones, since its priority had had too little.
 * @returns The queues.
 * @example
 * const cancel = createPlacementQueues(clock).wait({ req, tryPlace, isWithheld, describeLoad, onResult });
 */
export function createPlacementQueues(
    clock: Clock,
    onGuaranteedTurn: (turn: ServiceTurn) => void = () => undefined,
): PlacementQueues {
    const queues = new Map<string, WaitQueue>();
    let waits = 0;
    /** Checks of the requests that wait, whether they wait in vain. */
    const checks = new Set<() => void>();

    function queueOf(service: string): WaitQueue {
        const queue = queues.get(service)
            ?? createWaitQueue({ onGuaranteedTurn: turn => onGuaranteedTurn({ ...turn, service }) });
        queues.set(service, queue);
        return queue;
    }

    const dispatchAll = () => queues.forEach(queue => queue.dispatch(clock.now()));

    function wait(waiting: PlacementWait): CancelTimer {
        const { req, hasStarted = false, tryPlace, describeLoad, isWithheld, predictPermitMs, onResult } = waiting;
        // A caller may use the id of a request for two at once.
        waits += 1;
        const id = `${waits}`;
        const queue = queueOf(req.service);
        const { latencyDeadlineMs, disconnectMs: startDueMs } = computeCallerDeadlines(req);
        const disconnectMs = hasStarted ? req.deadlineMs : startDueMs;
        const lastStartMs = latencyDeadlineMs - minStartMs;
        const patienceMs = (disconnectMs - req.arrivedMs) * maxWaitFraction;
        const limitMs = hasStarted
            ? req.deadlineMs
            : Math.min(disconnectMs - minStartMs, req.arrivedMs + patienceMs);
        const timers: CancelTimer[] = [];
        let isRetryDue = false;

        function end(): void {
            timers.forEach(cancel => cancel());
            checks.delete(refuseIfHopeless);
            queue.remove(id);
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
            const permitMs = predictPermitMs(() => queue.countAhead(id, nowMs));
            if (permitMs !== undefined && nowMs + permitMs * permitWaitMargin > limitMs) {
                const retryAfterMs = chooseRetryAfterMs(permitMs, maxPermitRetryAfterMs, req.id);
                refuse(retryAfterMs, `rate limits of all upstreams; ${describeWait(permitMs)}`);
                return;
            }
            const predictedMs = queue.predictWaitMs(id, nowMs);
            if (predictedMs !== undefined && nowMs + predictedMs > limitMs) {
                refuse(chooseRetryAfterMs(predictedMs, maxRetryAfterMs, req.id), describeWait(predictedMs));
            }
        }

        /** Room that is left to more urgent requests becomes available as time passes, without another event. */
        function retryWhileWithheld(): void {
            if (isRetryDue || !isWithheld()) {
                return;
            }
            isRetryDue = true;
            const intervalMs = Math.max(minWithheldIntervalMs, (lastStartMs - req.arrivedMs) / withheldTries);
            timers.push(clock.after(Math.min(intervalMs, Math.max(0, lastStartMs - clock.now())), () => {
                isRetryDue = false;
                queue.dispatch(clock.now());
            }));
        }

        queue.enqueue({
            id,
            customer: req.customer?.name ?? "",
            priority: req.priority,
            size: sizeOf(req),
            // The caller of a stream that has started has nothing of it unless it goes on.
            latencyDeadlineMs: hasStarted ? Infinity : lastStartMs,
            disconnectMs,
            tryPlace: () => {
                const placement = tryPlace();
                if (placement === undefined) {
                    retryWhileWithheld();
                    return false;
                }
                timers.forEach(cancel => cancel());
                checks.delete(refuseIfHopeless);
                onResult({ kind: "placed", placement });
                return true;
            },
        }, clock.now());
        timers.push(
            clock.after(
                Math.max(0, limitMs - clock.now()),
                () => refuse(chooseRetryAfterMs(0, maxRetryAfterMs, req.id), "waited as long as it may"),
            ),
        );
        if (lastStartMs > clock.now()) {
            timers.push(clock.after(lastStartMs - clock.now() + 1, refuseIfHopeless));
        }
        retryWhileWithheld();
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
        countByPriority: () => {
            const counts = new Map<number, number>();
            for (const queue of queues.values()) {
                queue.countByPriority().forEach((count, priority) =>
                    counts.set(priority, (counts.get(priority) ?? 0) + count)
                );
            }
            return counts;
        },
        countWaiting: () => [...queues.values()].reduce((sum, queue) => sum + queue.size(), 0),
    };
}
