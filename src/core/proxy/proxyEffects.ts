/**
 * @module
 * Effects of a request with opaque content. The I/O shell or a test performs them.
 */
import type { Refusal } from "../errors/createRefusal.js";
import type { Placement, SendOutcome, UpstreamAnswer } from "./proxyTypes.js";

/** Result of a place effect. */
export type PlaceResult =
    | { readonly kind: "placed"; readonly placement: Placement; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "callerGone"; };

/** Places the request, waiting for room; returns a {@link PlaceResult}. */
export interface PlaceEffect {
    readonly kind: "place";
    /** Upstreams that were tried. */
    readonly excluded: readonly string[];
}

/** Sends the request; returns a {@link SendOutcome}. */
export interface SendEffect {
    readonly kind: "send";
    readonly placement: Placement;
    /** Whether only a connection that cannot have gone stale may be used. */
    readonly needsFreshConnection: boolean;
    /** Last event that the caller has; the upstream goes on behind it. */
    readonly lastEventId: string | undefined;
}

/** Delivers a whole answer; returns nothing. */
export interface AnswerEffect {
    readonly kind: "answer";
    readonly answer: UpstreamAnswer;
}

/** Answers by a refusal; returns nothing. */
export interface RefuseEffect {
    readonly kind: "refuse";
    readonly refusal: Refusal;
}

/** Breaks a stream off visibly; returns nothing. */
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

/** Steps of a request. */
export type ProxySteps<R> = Generator<ProxyEffect, R, unknown>;

/**
 * Yields an effect and returns its typed result.
 *
 * @param effect - The effect.
 * @returns Steps that return the effect's result.
 * @example
 * const placed = yield* performProxy({ kind: "place", excluded: [] });
 */
export function* performProxy<E extends ProxyEffect>(effect: E): ProxySteps<ProxyEffectResults[E["kind"]]> {
    return (yield effect) as ProxyEffectResults[E["kind"]];
}
