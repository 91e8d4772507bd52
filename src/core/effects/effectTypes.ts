/**
 * @module
 * Effects that a request's generator yields, and their results. The I/O shell or a test performs them.
 */
import type { Upstream } from "../catalogue/catalogueEntry.js";
import type { ClaimConclusion, ClaimRequest, ClaimVerdict } from "../claims/claimTypes.js";
import type { Refusal } from "../errors/createRefusal.js";
import type { AdmissionRequest, AdmissionVerdict, RequestCost } from "../limits/admissionTypes.js";
import type { EngineLoad } from "../ports/enginePort.js";

/** One call to an upstream. */
export interface UpstreamCall {
    readonly upstream: Upstream;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | Uint8Array | undefined;
    /** Must come back in the answer; an answer with another id is discarded. */
    readonly correlationId: string;
    /** Time limit for the head of the answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Whether the call must go over a new connection; else a kept one may be used. */
    readonly needsNewConnection: boolean;
    /** Whether the call goes on when the caller's connection is gone. */
    readonly outlivesCaller: boolean;
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
    readonly status: number;
    readonly contentType: string;
    readonly incarnation: string | undefined;
    readonly weightsVersion: string | undefined;
    readonly cachedTokens: number | undefined;
    /** Load report that rode on the answer. */
    readonly load?: EngineLoad | undefined;
    /** Whether the upstream says that it did not act on the request. */
    readonly isNotRun: boolean;
    /** Milliseconds after which the upstream may be tried again. */
    readonly retryAfterMs: number | undefined;
}

/** Result of a send effect. `notSent`: no byte can have been acted on; `lost` and
 * `callerGone`: the call may have been acted on. */
export type SendResult =
    | { readonly kind: "answered"; readonly head: AnswerHead; }
    | { readonly kind: "notSent"; readonly detail: string; }
    | { readonly kind: "lost"; readonly detail: string; }
    | { readonly kind: "callerGone"; };

/** Why forwarding of an answer's body ended. */
export type ForwardEnd = "complete" | "cut" | "silent" | "outOfOrder" | "callerGone" | "callerStalled" | "deadline";

/** Result of a forward effect. */
export interface ForwardResult {
    readonly end: ForwardEnd;
    /** Whole events that the caller was sent over all connections. */
    readonly delivered: number;
    /** Tokens that were generated, as far as known. */
    readonly outputTokens: number;
}

/** Result of a collect effect. */
export type CollectResult =
    | { readonly kind: "whole"; readonly body: Uint8Array; }
    | { readonly kind: "broken"; readonly end: ForwardEnd; };

/** The answer to the caller of a request that is not streamed. */
export interface CompleteAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** Asks admission; returns an {@link AdmissionVerdict}. */
export interface AdmitEffect {
    readonly kind: "admit";
    readonly req: AdmissionRequest;
}

/** Settles an admitted request's cost; returns nothing. */
export interface SettleEffect {
    readonly kind: "settle";
    readonly requestId: string;
    readonly used: RequestCost;
}

/** Calls an upstream; returns a {@link SendResult}. A later send abandons the answer of the one before. */
export interface SendEffect {
    readonly kind: "send";
    readonly call: UpstreamCall;
}

/** Forwards the body of the last answered send as the caller's event stream; returns a {@link ForwardResult}. */
export interface ForwardEffect {
    readonly kind: "forward";
    readonly deadlineMs: number;
}

/** Reads the whole body of the last answered send; returns a {@link CollectResult}. */
export interface CollectEffect {
    readonly kind: "collect";
    readonly deadlineMs: number;
}

/** Claims an idempotency key; returns a {@link ClaimVerdict}. */
export interface ClaimEffect {
    readonly kind: "claim";
    readonly req: ClaimRequest;
}

/** Ends a claim that was won, without waiting for the log; returns nothing. */
export interface ConcludeEffect {
    readonly kind: "conclude";
    readonly key: string;
    readonly claimId: string;
    readonly conclusion: ClaimConclusion;
}

/** Cancels a stream at an upstream after a delay, without waiting for it; returns nothing. */
export interface CancelEffect {
    readonly kind: "cancel";
    readonly upstream: Upstream;
    readonly streamId: string;
    readonly delayMs: number;
    /** Asked after the delay; false when another reader has joined the stream. */
    readonly isWanted: () => boolean;
}

/** How a wait ended. */
export type WaitResult = "elapsed" | "callerGone";

/** Waits; returns a {@link WaitResult}. A wait that outlives the caller always elapses. */
export interface WaitEffect {
    readonly kind: "wait";
    readonly delayMs: number;
    readonly outlivesCaller: boolean;
}

/** Answers the caller with a whole body; returns nothing. */
export interface AnswerEffect {
    readonly kind: "answer";
    readonly answer: CompleteAnswer;
}

/** Answers the caller with a refusal, or closes a begun stream by an error event; returns nothing. */
export interface RefuseEffect {
    readonly kind: "refuse";
    readonly refusal: Refusal;
}

/** Every effect. */
export type Effect =
    | AdmitEffect
    | SettleEffect
    | SendEffect
    | ForwardEffect
    | CollectEffect
    | ClaimEffect
    | ConcludeEffect
    | CancelEffect
    | WaitEffect
    | AnswerEffect
    | RefuseEffect;

/** The result type of each effect kind. */
export interface EffectResults {
    readonly admit: AdmissionVerdict;
    readonly settle: undefined;
    readonly send: SendResult;
    readonly forward: ForwardResult;
    readonly collect: CollectResult;
    readonly claim: ClaimVerdict;
    readonly conclude: undefined;
    readonly cancel: undefined;
    readonly wait: WaitResult;
    readonly answer: undefined;
    readonly refuse: undefined;
}

/** A sequence of steps that yields effects and returns `R`. */
export type Steps<R> = Generator<Effect, R, unknown>;
