/**
 * @module
 * State machine of one attempt at an upstream, with the execution outcome that each state implies.
 */
import { createMachine, interpret, state, transition } from "robot3";
import type { ExecutionOutcome } from "../errors/errorTable.js";

const machine = createMachine("unsent", {
    unsent: state(transition("send", "sent")),
    sent: state(
        transition("notSent", "notRun"),
        transition("refusedNotRun", "notRun"),
        transition("rejected", "notRun"),
        transition("lose", "lost"),
        transition("answer", "answering"),
    ),
    answering: state(transition("complete", "complete"), transition("interrupt", "interrupted")),
    notRun: state(),
    lost: state(),
    interrupted: state(),
    complete: state(),
});

/** State of an attempt. */
export type AttemptState = "unsent" | "sent" | "answering" | "notRun" | "lost" | "interrupted" | "complete";

/** Event of an attempt. */
export type AttemptEvent =
    | "send"
    | "notSent"
    | "refusedNotRun"
    | "rejected"
    | "lose"
    | "answer"
    | "complete"
    | "interrupt";

const outcomes: Readonly<Record<AttemptState, ExecutionOutcome>> = {
    unsent: "notRun",
    sent: "unknown",
    notRun: "notRun",
    lost: "unknown",
    answering: "run",
    interrupted: "run",
    complete: "run",
};

/** Tracks the state of one attempt. */
export interface AttemptTracker {
    /** Applies an event; an event without a transition from the current state is ignored. */
    readonly recordEvent: (event: AttemptEvent) => void;
    readonly state: () => AttemptState;
    readonly outcome: () => ExecutionOutcome;
}

/**
 * Creates a tracker for one attempt.
 *
 * @returns The tracker, in state "unsent".
 * @example
 * const attempt = trackAttempt();
 * attempt.recordEvent("send");
 * attempt.outcome(); // "unknown"
 */
export function trackAttempt(): AttemptTracker {
    const service = interpret(machine, () => undefined);
    const readState = () => service.machine.current as AttemptState;
    return {
        recordEvent: event => service.send(event),
        state: readState,
        outcome: () => outcomes[readState()],
    };
}
