/**
 * @module
 * Stops an instance: performs what each phase of its stop asks for.
 */
import type { Shutdown, ShutdownLoad } from "../../core/shutdown/createShutdown.js";
import type { Clock } from "../../core/time/clock.js";
import type { ReadArrivedOptions } from "../_lib/readArrived.js";

/** Dependencies of {@link runShutdown}. */
export interface RunShutdownOptions {
    readonly clock: Clock;
    readonly shutdown: Shutdown;
    /** Receives by how much a check of the phase was late, in milliseconds. */
    readonly recordLag?: (lateMs: number) => void;
    /**
     * Reads the requests that have arrived, so that the load counts them; ends soon once the next phase is due. Resolves to
     * whether no connection is left that waits.
     */
    readonly readArrived: (options: ReadArrivedOptions) => Promise<boolean>;
    readonly readLoad: () => ShutdownLoad;
    /** Refuses the waiting requests that can no longer be finished. */
    readonly refuseLate: () => void;
    /** Gives every request in progress its final answer. */
    readonly stopRequests: () => void;
    /** Accepts connections of callers without reading them, until the returned function is called. */
    readonly holdConnections: () => () => void;
    /** Stops accepting connections of callers; those that wait are reset. Called once, and not after `closeCallers`. */
    readonly stopListening: () => void;
    /** Stops accepting connections of callers, and closes the open ones. */
    readonly closeCallers: () => void;
}

/** Share of the time for closing in which the connections that wait are accepted before the open ones are closed. */
const lastReadShare = 0.5;

/** Shortest such time, in milliseconds, for a process that comes when all is due: a connection takes it a fraction of one. */
const minLastReadMs = 30;

/** Longest time for which accepted connections are held back, in milliseconds: callers give up soon after it. */
const maxHoldMs = 1_000;

/** Longest time between two checks of the phase, in milliseconds. */
const pollIntervalMs = 40;

/**
 * Waits until a stop that has begun is over.
 *
 * @param options - The stop, and the parts of the instance that it ends.
 * @returns A promise that resolves when the process may end.
 */
export async function runShutdown(options: RunShutdownOptions): Promise<void> {
    const { clock, shutdown } = options;
    let isListening = true;

    /**
     * Accepts the connections that wait: a process that comes late to this phase has read only a few of them. One that has taken
     * long for these, and for which all is due, has no time for more. `sinceMs`: when it began to read.
     */
    async function readWaiting(sinceMs: number): Promise<void> {
        const nowMs = clock.now();
        const shareMs = (shutdown.nextDueMs(nowMs) - nowMs) * lastReadShare;
        const untilMs = Math.max(sinceMs + minLastReadMs, nowMs + shareMs);
        if (nowMs < untilMs) {
            await options.readArrived({ isDue: () => clock.now() >= untilMs });
        }
    }

    const mayStopListening = () => isListening && shutdown.mayStopListening(clock.now());

    /** At the end of the stop connections may wait that the process can't accept in time: it takes none from when none waits. */
    function onNoneWaits(): void {
        if (mayStopListening()) {
            isListening = false;
            options.stopListening();
        }
    }

    const isDue = () => clock.now() >= shutdown.nextDueMs(clock.now());

    const readArrived = () => options.readArrived({ isDue: () => mayStopListening() || isDue(), onNoneWaits });

    /**
     * Accepts all connections that wait before any is answered: callers that come back as soon as they have an answer would keep
     * some waiting for good.
     */
    async function acceptWaiting(): Promise<void> {
        const untilMs = clock.now() + maxHoldMs;
        const release = options.holdConnections();
        await options.readArrived({ isDue: () => !isListening || isDue() || clock.now() >= untilMs, onNoneWaits });
        release();
    }

    for (;;) {
        const sinceMs = clock.now();
        let isAllRead = await readArrived();
        if (mayStopListening() && !isDue()) {
            await acceptWaiting();
            isAllRead = await readArrived();
        }
        const before = shutdown.phase();
        const phase = shutdown.advance(clock.now(), options.readLoad());
        if (phase === "ended") {
            return;
        }
        if (phase === "leaving") {
            options.refuseLate();
        }
        if (phase === "refusing" && before !== phase) {
            options.stopRequests();
        }
        if (phase === "closing" && before !== phase) {
            if (!isAllRead) {
                await readWaiting(sinceMs);
            }
            isListening = false;
            options.closeCallers();
        }
        const nowMs = clock.now();
        const waitMs = Math.max(0, Math.min(pollIntervalMs, shutdown.nextDueMs(nowMs) - nowMs));
        await new Promise<void>(resolve => clock.after(waitMs, resolve));
        options.recordLag?.(clock.now() - nowMs - waitMs);
    }
}
