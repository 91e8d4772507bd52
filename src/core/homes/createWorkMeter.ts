/**
 * @module
 * Measures for how long requests occupy an engine, as if each had run alone there: the prefill until the answer begins, and
 * a slot's part of the time after it.
 */

/** Meter of requests. Times are milliseconds on the instance's clock. */
export interface WorkMeter {
    /** Records a send; true when it is the first one of the request. */
    readonly begin: (request: object, slots: number, nowMs: number) => boolean;
    readonly recordAnswerStart: (request: object, nowMs: number) => void;
    readonly end: (request: object, nowMs: number) => void;
}

interface MeteredRequest {
    readonly slots: number;
    readonly sentMs: number;
    readonly startedMs: number | undefined;
}

/**
 * Creates a meter.
 *
 * @param onWork - Receives the work of each request whose answer had begun, in milliseconds.
 * @returns The meter.
 * @example
 * createWorkMeter(workMs => demand.recordWork(workMs)).begin(req, 24, clock.now()); // true
 */
export function createWorkMeter(onWork: (workMs: number) => void): WorkMeter {
    const metered = new WeakMap<object, MeteredRequest>();

    return {
        begin: (request, slots, nowMs) => {
            const isFirst = !metered.has(request);
            metered.set(request, { slots, sentMs: nowMs, startedMs: undefined });
            return isFirst;
        },
        recordAnswerStart: (request, nowMs) => {
            const sent = metered.get(request);
            if (sent !== undefined && sent.startedMs === undefined) {
                metered.set(request, { ...sent, startedMs: nowMs });
            }
        },
        end: (request, nowMs) => {
            const sent = metered.get(request);
            if (sent?.startedMs !== undefined) {
                onWork(sent.startedMs - sent.sentMs + (nowMs - sent.startedMs) / sent.slots);
                metered.set(request, { ...sent, startedMs: undefined });
            }
        },
    };
}
