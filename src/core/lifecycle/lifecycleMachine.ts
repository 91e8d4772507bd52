/**
 * @module
 * State machine of the daemon's lifecycle.
 */
import { createMachine, state, transition } from "robot3";

/** State of the daemon's lifecycle. */
export type LifecycleState = "starting" | "serving" | "leaving" | "draining" | "stopped";

/**
 * `leaving`: removed from the entry list, but still accepting requests of callers that hold an older list. `draining`:
 * accepts no requests and finishes those in progress. Either state ends at the time bound of a graceful shutdown.
 */
export const lifecycleMachine = createMachine("starting", {
    starting: state(transition("ready", "serving"), transition("stop", "leaving")),
    serving: state(transition("stop", "leaving")),
    leaving: state(transition("listsExpired", "draining"), transition("boundReached", "stopped")),
    draining: state(transition("idle", "stopped"), transition("boundReached", "stopped")),
    stopped: state(),
});
