/**
 * @module
 * What a simulated run records, and the faults that can be planted in the code under check.
 */
import type { ErrorKind, ExecutionOutcome } from "../../src/core/errors/errorTable.js";

/** A fault planted to show that a check can fail. */
export type PlantedFault =
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
    /** Time at which its instance was last resumed from a pause, in milliseconds. */
    resumedMs: number;
    /** Bytes of a stream that the caller received. */
    streamed: string;
    readonly ends: { readonly end: CallerEnd; readonly atMs: number; }[];
}

/** One execution at a service. */
export interface ServiceRun {
    readonly key: string;
    readonly requestId: string;
    readonly answer: string;
}

/** Everything that a run records. */
export interface History {
    readonly requests: readonly SentRequest[];
    readonly serviceRuns: readonly ServiceRun[];
    /** Request ids that an engine acted on. */
    readonly engineRuns: ReadonlySet<string>;
    /** The right answer of each model key. */
    readonly expectedStreams: ReadonlyMap<string, string>;
}
