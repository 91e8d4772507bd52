/**
 * @module
 * Lifecycle of the daemon and its graceful shutdown, driven by a clock and the requests in progress.
 */
import { interpret } from "robot3";
import { drainSignalBoundMs } from "../constants.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { lifecycleMachine, type LifecycleState } from "./lifecycleMachine.js";

/** Dependencies of a lifecycle. */
export interface LifecycleDependencies {
    readonly clock: Clock;
    /** Time for which callers may keep an entry list, in milliseconds. */
    readonly entryLifetimeMs: number;
    /** Upper bound on the duration of a graceful shutdown, in milliseconds. */
    readonly stopBoundMs: number;
    /** Announces to the fleet that this instance shuts down. */
    readonly announceLeaving: () => void;
    /** Stops accepting connections and closes the idle ones. */
    readonly closeIdle: () => void;
    /** Called shortly before the bound with the requests that would be aborted. */
    readonly warnOfAbort: (requests: readonly string[], remainingMs: number) => void;
    /** Called when the shutdown is complete, with the requests that were still running at the bound. */
    readonly onStopped: (aborted: readonly string[]) => void;
}

/** Lifecycle of one daemon. */
export interface Lifecycle {
    readonly state: () => LifecycleState;
    /** Marks the daemon as ready to serve. */
    readonly markReady: () => void;
    /** Counts a request until the returned function is called. */
    readonly trackRequest: (description: string) => () => void;
    /** Begins the graceful shutdown; calling it again has no effect. */
    readonly beginStop: () => void;
}

/** Time beyond the lifetime of an entry list for which other instances may still list this one, in milliseconds. */
const entryListMarginMs = drainSignalBoundMs;

/** Time before the bound at which the requests that would be aborted are logged, in milliseconds. */
const abortWarningLeadMs = 10_000;

/** Maximum of that time as a share of the bound. */
const maxAbortWarningShare = 0.5;

/**
 * Creates the lifecycle in its starting state.
 *
 * @param dependencies - The clock, the bounds and the actions of each state.
 * @returns The lifecycle.
 * @example
 * const done = lifecycle.trackRequest("POST /v1/completions");
 */
export function createLifecycle(dependencies: LifecycleDependencies): Lifecycle {
    const { clock, stopBoundMs } = dependencies;
    const running = new Map<number, string>();
    const service = interpret(lifecycleMachine, () => undefined);
    const timers: CancelTimer[] = [];
    let nextRequest = 0;

    const state = () => service.machine.current as LifecycleState;

    function finish(event: "idle" | "boundReached"): void {
        if (state() === "stopped") {
            return;
        }
        service.send(event);
        if (state() === "stopped") {
            timers.forEach(cancel => cancel());
            dependencies.onStopped([...running.values()]);
        }
    }

    function finishIfIdle(): void {
        if (state() === "draining" && running.size === 0) {
            finish("idle");
        }
    }

    function drain(): void {
        if (state() !== "leaving") {
            return;
        }
        service.send("listsExpired");
        dependencies.closeIdle();
        finishIfIdle();
    }

    function beginStop(): void {
        if (state() !== "starting" && state() !== "serving") {
            return;
        }
        service.send("stop");
        dependencies.announceLeaving();
        const warningLeadMs = Math.min(abortWarningLeadMs, stopBoundMs * maxAbortWarningShare);
        timers.push(
            clock.after(dependencies.entryLifetimeMs + entryListMarginMs, drain),
            clock.after(stopBoundMs - warningLeadMs, () => {
                if (running.size > 0) {
                    dependencies.warnOfAbort([...running.values()], warningLeadMs);
                }
            }),
            clock.after(stopBoundMs, () => finish("boundReached")),
        );
    }

    function trackRequest(description: string): () => void {
        const request = nextRequest;
        nextRequest += 1;
        running.set(request, description);
        return () => {
            running.delete(request);
            finishIfIdle();
        };
    }

    return {
        state,
        markReady: () => {
            if (state() === "starting") {
                service.send("ready");
            }
        },
        trackRequest,
        beginStop,
    };
}
