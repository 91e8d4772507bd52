/**
 * @module
 * Interface of the sender of requests to upstreams.
 */
import type { HealthView } from "../../core/placement/createHealthView.js";
import type { AnswerEnd } from "../../core/proxy/answerEnd.js";
import type { AnswerMemory } from "../../core/proxy/createAnswerMemory.js";
import type { SendEffect } from "../../core/proxy/proxyEffects.js";
import type { ProxyRequest, SendOutcome } from "../../core/proxy/proxyTypes.js";
import type { Clock } from "../../core/time/clock.js";
import type { UnbegunSends } from "../../core/weights/createUnbegunSends.js";
import type { CallerExchange } from "./createCallerExchange.js";
import type { ConnectionPool } from "./createConnectionPool.js";
import type { AnswerHead, ProxyCodec } from "./proxyCodec.js";

/** A send that was withdrawn. */
export interface Withdrawal {
    /** Time since it was sent, in milliseconds. */
    readonly waitedMs: number;
    /** Whether its upstream has answered with a head. */
    readonly hasHead: boolean;
}

/** Dependencies of the sender. */
export interface UpstreamSenderDependencies {
    readonly clock: Clock;
    readonly codec: ProxyCodec;
    readonly connections: ConnectionPool;
    readonly health: HealthView;
    /** Memory that answers in progress hold. */
    readonly answerMemory: AnswerMemory;
    /** Sends whose runs have not begun. */
    readonly unbegun: Pick<UnbegunSends, "mayBegin" | "track">;
    /** Receives the time from a send to the begin of its run, in milliseconds. */
    readonly onRunBegin: (req: ProxyRequest, tookMs: number) => void;
    /** Receives each send that is withdrawn since its run has not begun in time. */
    readonly onWithdrawn: (req: ProxyRequest, effect: SendEffect, withdrawal: Withdrawal) => void;
    /** Receives the head of each answer, and when its request was sent. */
    readonly onAnswerHead: (req: ProxyRequest, effect: SendEffect, head: AnswerHead, sentMs: number) => void;
    /** Receives the time from a send to the head of its answer, in milliseconds. */
    readonly onHeadTime: (tookMs: number) => void;
    /** Receives how an answer ended, and why it is incomplete if it is. */
    readonly onAnswerEnd: (
        req: ProxyRequest,
        effect: SendEffect,
        end: AnswerEnd,
        incompleteReason: string | undefined,
    ) => void;
    /** Receives each event, or part of one, of a stream. */
    readonly onEvent: (req: ProxyRequest) => void;
    /** Receives requests whose connection ended before their answer was complete. */
    readonly onConnectionEnd: (req: ProxyRequest, effect: SendEffect) => void;
    /** Receives the heads of answers that belong to another request or to none. */
    readonly onForeignAnswer: (req: ProxyRequest, effect: SendEffect, head: AnswerHead) => void;
}

/**
 * Sends a request; `onOutcome` is called exactly once. Returns a function that ends the send because the instance stops;
 * it has no effect after the outcome.
 */
export type SendToUpstream = (
    req: ProxyRequest,
    effect: SendEffect,
    caller: CallerExchange,
    onOutcome: (outcome: SendOutcome) => void,
) => () => void;
