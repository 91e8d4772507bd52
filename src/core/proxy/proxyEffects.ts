/**
 * @module
 * Effects of a proxied request. The I/O layer or a test performs them.
 */
import type { Refusal } from "../errors/createRefusal.js";
import type { Placement, SendOutcome, UpstreamAnswer } from "./proxyTypes.js";

/** Result of a place effect. `callerGone`: the caller disconnected. */
export type PlaceResult =
    | { readonly kind: "placed"; readonly placement: Placement; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "callerGone"; };

/** Chooses an upstream, waiting for free capacity; returns a {@link PlaceResult}. */
export interface PlaceEffect {
    readonly kind: "place";
    /** Ids of upstreams that were tried before. */
    readonly excluded: readonly string[];
    /** Whether one of them may have run the request, so that its caller can't be told "not run". */
    readonly mayHaveRun: boolean;
    /** Whether the caller has a part of the stream, which is cut unless the request is placed; left out where it has none. */
    readonly hasStarted?: boolean;
}

/** What a choice of an upstream depends on, beside the request. */
export type PlacementQuery = Omit<PlaceEffect, "mayHaveRun">;

/** Sends the request; returns a {@link SendOutcome}. */
export interface SendEffect {
    readonly kind: "send";
    readonly placement: Placement;
    /** Whether the connection must be new, or idle too briefly for the upstream to have closed it unnoticed. */
    readonly needsFreshConnection: boolean;
    /** Id of the last event that the caller has received; the upstream resumes after it. */
    readonly lastEventId: string | undefined;
    /** Whether the request could be sent again if this send were lost now. */
    readonly mayBeReplaced: () => boolean;
}

/** Delivers a complete answer; returns nothing. */
export interface AnswerEffect {
    readonly kind: "answer";
    readonly answer: UpstreamAnswer;
}

/** Answers with a refusal; returns nothing. */
export interface RefuseEffect {
    readonly kind: "refuse";
    readonly refusal: Refusal;
}

/** Aborts a stream, so that it does not look complete to the caller; returns nothing. */
export interface AbortEffect {
    readonly kind: "cut";
    readonly detail: string;
}

/** Every effect. */
export type ProxyEffect = PlaceEffect | SendEffect | AnswerEffect | RefuseEffect | AbortEffect;

/** The result type of each effect kind. */
export interface ProxyEffectResults {
    readonly place: PlaceResult;
    readonly send: SendOutcome;
    readonly answer: undefined;
    readonly refuse: undefined;
    readonly cut: undefined;
}

/** The steps of a request, as a generator of effects. */
export type ProxySteps<R> = Generator<ProxyEffect, R, unknown>;

/**
 * Yields an effect and returns its typed result.
 *
 * @param effect - The effect.
 * @returns Steps that return the effect's result.
 * @example
 * const placed = yield* performProxy({ kind: "place", excluded: [], mayHaveRun: false });
 */
export function* performProxy<E extends ProxyEffect>(effect: E): ProxySteps<ProxyEffectResults[E["kind"]]> {
    return (yield effect) as ProxyEffectResults[E["kind"]];
}
