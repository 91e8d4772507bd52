/**
 * @module
 * The states of a daemon's life.
 */
import { createMachine, state, transition } from "robot3";

/** State of a daemon's life. */
export type LifecycleState = "starting" | "serving" | "leaving" | "draining" | "stopped";

/**
 * `leaving`: off the entry list, still accepting for callers that hold an older list. `draining`: accepts nothing and
 * finishes what runs. The time bound of a planned stop ends either.
 */
export const lifecycleMachine = createMachine("starting", {
    starting: state(transition("ready", "serving"), transition("stop", "leaving")),
    serving: state(transition("stop", "leaving")),
    leaving: state(transition("listsExpired", "draining"), transition("boundReached", "stopped")),
    draining: state(transition("idle", "stopped"), transition("boundReached", "stopped")),
    stopped: state(),
});
