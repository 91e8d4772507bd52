/**
 * @module
 * Effects that a request's generator yields, and their results. The I/O layer or a test performs them.
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
    /** The upstream must return this id in the answer; an answer with another id is discarded. */
    readonly correlationId: string;
    /** Timeout for the head of the answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Whether the call must use a new connection instead of a pooled one. */
    readonly needsNewConnection: boolean;
    /** Whether the call continues after the caller has disconnected. */
    readonly outlivesCaller: boolean;
}

/** Status and headers of an upstream's answer, decoded. */
export interface AnswerHead {
    readonly status: number;
    readonly contentType: string;
    readonly incarnation: string | undefined;
    readonly weightsVersion: string | undefined;
    readonly cachedTokens: number | undefined;
    /** Load report that came with the answer. */
    readonly load?: EngineLoad | undefined;
    /** Whether the upstream reported that it did not act on the request. */
    readonly isNotRun: boolean;
    /** Milliseconds after which the upstream may be tried again. */
    readonly retryAfterMs: number | undefined;
}

/** Result of a send effect. `notSent`: the upstream cannot have acted on the call; `lost` and `callerGone` (the caller
 * disconnected): it may have acted on it. */
export type SendResult =
    | { readonly kind: "answered"; readonly head: AnswerHead; }
    | { readonly kind: "notSent"; readonly detail: string; }
    | { readonly kind: "lost"; readonly detail: string; }
    | { readonly kind: "callerGone"; };

/** Why forwarding of an answer's body ended.
 *
 * - `cut`: the connection was closed before the body was complete.
 * - `silent`: the upstream sent nothing within the timeout.
 * - `outOfOrder`: events arrived out of sequence, or one exceeded the size limit.
 * - `callerGone`: the caller disconnected.
 * - `callerStalled`: the caller read too slowly. */
export type ForwardEnd = "complete" | "cut" | "silent" | "outOfOrder" | "callerGone" | "callerStalled" | "deadline";

/** Result of a forward effect. */
export interface ForwardResult {
    readonly end: ForwardEnd;
    /** Complete events that were sent to the caller over all upstream connections. */
    readonly delivered: number;
    /** Generated tokens, as far as known. */
    readonly outputTokens: number;
}

/** Result of a collect effect: the complete body, or why it is incomplete. */
export type CollectResult =
    | { readonly kind: "whole"; readonly body: Uint8Array; }
    | { readonly kind: "broken"; readonly end: ForwardEnd; };

/** The answer to the caller of a request that is not streamed. */
export interface CompleteAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** Requests admission; returns an {@link AdmissionVerdict}. */
export interface AdmitEffect {
    readonly kind: "admit";
    readonly req: AdmissionRequest;
}

/** Releases an admitted request and corrects its estimated cost to the actual cost; returns nothing. */
export interface SettleEffect {
    readonly kind: "settle";
    readonly requestId: string;
    readonly used: RequestCost;
}

/** Calls an upstream; returns a {@link SendResult}. A later send abandons the answer of the previous one. */
export interface SendEffect {
    readonly kind: "send";
    readonly call: UpstreamCall;
}

/** Forwards the body of the last answered send as the caller's event stream; returns a {@link ForwardResult}. */
export interface ForwardEffect {
    readonly kind: "forward";
    readonly deadlineMs: number;
}

/** Reads the complete body of the last answered send; returns a {@link CollectResult}. */
export interface CollectEffect {
    readonly kind: "collect";
    readonly deadlineMs: number;
}

/** Claims an idempotency key; returns a {@link ClaimVerdict}. */
export interface ClaimEffect {
    readonly kind: "claim";
    readonly req: ClaimRequest;
}

/** Ends a claim that this request holds, without waiting for the log; returns nothing. */
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
    /** Called after the delay; returns false when another reader has joined the stream. */
    readonly isWanted: () => boolean;
}

/** How a wait ended. `callerGone`: the caller disconnected. */
export type WaitResult = "elapsed" | "callerGone";

/** Waits; returns a {@link WaitResult}. A wait that outlives the caller is not ended by a disconnect. */
export interface WaitEffect {
    readonly kind: "wait";
    readonly delayMs: number;
    readonly outlivesCaller: boolean;
}

/** Answers the caller with a complete body; returns nothing. */
export interface AnswerEffect {
    readonly kind: "answer";
    readonly answer: CompleteAnswer;
}

/** Answers the caller with a refusal, or ends a started stream with an error event; returns nothing. */
export interface RefuseEffect {
    readonly kind: "refuse";
    readonly refusal: Refusal;
}

/** Any effect. */
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
