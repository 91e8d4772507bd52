/**
 * @module
 * The life of a daemon and its planned stop, driven by a clock and the requests that run.
 */
import { interpret } from "robot3";
import { leavingBoundMs } from "../constants.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { lifecycleMachine, type LifecycleState } from "./lifecycleMachine.js";

/** What a lifecycle needs. */
export interface LifecycleDependencies {
    readonly clock: Clock;
    /** Time for which callers may keep an entry list, in milliseconds. */
    readonly entryLifetimeMs: number;
    /** Upper bound of a planned stop, in milliseconds. */
    readonly stopBoundMs: number;
    /** Tells the fleet that this instance leaves. */
    readonly announceLeaving: () => void;
    /** Stops accepting and closes connections that carry no request. */
    readonly closeIdle: () => void;
    /** The bound comes near and these requests would be cut. */
    readonly warnOfAbort: (requests: readonly string[], remainingMs: number) => void;
    /** The stop is complete; these requests were still running at the bound. */
    readonly onStopped: (cut: readonly string[]) => void;
}

/** The life of one daemon. */
export interface Lifecycle {
    readonly state: () => LifecycleState;
    readonly markReady: () => void;
    /** Counts a request until the returned function is called. */
    readonly trackRequest: (description: string) => () => void;
    /** Begins the planned stop; calling it again has no effect. */
    readonly beginStop: () => void;
}

/** Time beyond the lifetime of an entry list in which other instances may still list this one, in milliseconds. */
const listMarginMs = leavingBoundMs;

/** Time before the bound at which the requests that it would cut are logged, in milliseconds. */
const cutWarningLeadMs = 10_000;

/** Share of the bound that the warning lies before it at the most. */
const maxCutWarningShare = 0.5;

/**
 * Creates the lifecycle in its starting state.
 *
 * @param dependencies - The clock, the bounds and what each state does.
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
        const warningLeadMs = Math.min(cutWarningLeadMs, stopBoundMs * maxCutWarningShare);
        timers.push(
            clock.after(dependencies.entryLifetimeMs + listMarginMs, drain),
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
