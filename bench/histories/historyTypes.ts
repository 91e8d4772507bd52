/**
 * @module
 * The history that a simulated run records, and the faults that can be injected into the code under test.
 */
import type { ErrorKind, ExecutionOutcome } from "../../src/core/errors/errorTable.js";

/** A fault that is injected to show that a check can fail. */
export type InjectedFault =
    | "dispatchBeforeClaim"
    | "truncationUnnoticed"
    | "lostTakenAsNotSent"
    | "orderUnchecked"
    | "otherSeedOnRetry"
    | "silentEnd";

/** How a request ended for its caller. */
export type CallerEnd =
    | { readonly kind: "answer"; readonly text: string; }
    | { readonly kind: "refusal"; readonly error: ErrorKind; readonly outcome: ExecutionOutcome; }
    /** The connection closed without a final answer. */
    | { readonly kind: "closed"; };

/** One request of a caller. */
export interface SentRequest {
    readonly requestId: string;
    readonly kind: "service" | "model";
    readonly key: string;
    readonly instance: number;
    readonly deadlineMs: number;
    /** Whether its instance crashed while it ran. */
    isInstanceLost: boolean;
    /** Time at which its instance last resumed from a pause. */
    resumedMs: number;
    /** Bytes of a stream that the caller received. */
    streamed: string;
    readonly ends: { readonly end: CallerEnd; readonly atMs: number; }[];
}

/** One execution of a call at a service. */
export interface ServiceRun {
    readonly key: string;
    readonly requestId: string;
    readonly answer: string;
}

/** Everything that a run records. */
export interface History {
    readonly requests: readonly SentRequest[];
    readonly serviceRuns: readonly ServiceRun[];
    /** Ids of the requests that an engine executed. */
    readonly engineRuns: ReadonlySet<string>;
    /** The correct answer of each idempotency key of model requests. */
    readonly expectedStreams: ReadonlyMap<string, string>;
}
