/**
 * @module
 * What upstreams state in their answers about the requests that they want.
 */

/** One statement of an upstream. */
export type UpstreamSignal =
    /** The requests per second that it takes from all instances together, for as long as its answers state it. */
    | { readonly kind: "rateLimit"; readonly requestsPerSecond: number; }
    /** It is about to end and wants no further request of any instance. */
    | { readonly kind: "leaving"; }
    /** It has rejected a request and wants none of the same instance for a time. */
    | { readonly kind: "retryAfter"; readonly delayMs: number; };

/** Kind of a signal. */
export type SignalKind = UpstreamSignal["kind"];

/** A statement that could not be decoded; "load" is the load, which is kept in `src/core/load`. */
export interface MalformedSignal {
    readonly kind: SignalKind | "load";
    readonly text: string;
}

/** The signals of one answer. */
export interface AnswerSignals {
    readonly stated: readonly UpstreamSignal[];
    readonly malformed: readonly MalformedSignal[];
}
