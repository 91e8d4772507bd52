/**
 * @module
 * Sends one request to one upstream and reports the outcome of its answer.
 */
import type { Dispatcher } from "undici";
import { createPauseGate } from "../../core/_lib/createPauseGate.js";
import { classifyStatus } from "../../core/proxy/classifyStatus.js";
import type { AnswerHolding } from "../../core/proxy/createAnswerMemory.js";
import { type AnswerUse, judgeAnswerHead } from "../../core/proxy/judgeAnswerHead.js";
import type { SendEffect } from "../../core/proxy/proxyEffects.js";
import type { ProxyRequest, RejectionReason, SendOutcome, StreamProgress } from "../../core/proxy/proxyTypes.js";
import { isRetryable } from "../../core/proxy/serveProxyRequest.js";
import type { CancelTimer } from "../../core/time/clock.js";
import { createTurnShare } from "../../core/time/createTurnShare.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";
import { findSentWeights } from "../../core/weights/findSentWeights.js";
import { toHeaderPairs } from "./_lib/toHeaderPairs.js";
import { type AnswerIntake, createAnswerIntake } from "./createAnswerIntake.js";
import type { CallerExchange } from "./createCallerExchange.js";
import type { PooledConnection } from "./createConnectionPool.js";
import type { AnswerHead } from "./proxyCodec.js";
import type { SendToUpstream, UpstreamSenderDependencies } from "./upstreamSenderTypes.js";

/** Connect timeout. It is short because TCP retransmits a lost SYN only after seconds. */
export const connectTimeoutMs = 400;

/** Maximum idle time of a connection for a request that must not run twice. */
const maxFreshIdleMs = 250;

/** Maximum idle time of a connection for other requests. */
const maxRetryableIdleMs = 2_000;

/** Interval at which a send checks whether its upstream has become unresponsive. */
const unresponsivePollIntervalMs = 200;

/** Informational heads before an answer. */
const maxInformationalHeads = 16;

/** Bytes that may arrive without becoming part of an answer: more than any head, or a chunk's extension, may have. */
const maxUnparsedBytes = 256 * 1024;

const outdatedDetail = "the weights of the engine are outdated, and the run has not begun in time";

/** One send in progress. */
class Send implements Dispatcher.DispatchHandler {
    private isWritten = false;
    private sentMs = 0;
    private head: AnswerHead | undefined;
    private answer: AnswerIntake | undefined;
    private readonly holding: AnswerHolding;
    private informationalHeads = 0;
    private isFinished = false;
    private hasBegun = false;
    /** Records that the run has begun, or that the send has ended. */
    private endTracking: () => void = () => undefined;
    private readonly cancels: CancelTimer[] = [];
    private controller: Dispatcher.DispatchController | undefined;
    private readonly gate = createPauseGate({
        pause: () => this.connection.pause(),
        resume: () => this.resumeAnswer(),
    });
    private readonly turn = createTurnShare({ pause: () => this.gate.hold(), defer: setImmediate });

    constructor(
        private readonly deps: UpstreamSenderDependencies,
        private readonly req: ProxyRequest,
        private readonly effect: SendEffect,
        private readonly caller: CallerExchange,
        private readonly connection: PooledConnection,
        private readonly onOutcome: (outcome: SendOutcome) => void,
    ) {
        this.holding = deps.answerMemory.open(() => this.finishLost("the answers in progress hold too much memory"));
    }

    start(): void {
        const { clock, health, codec } = this.deps;
        const { req, effect } = this;
        const nowMs = clock.now();
        this.sentMs = nowMs;
        const budgetMs = Math.floor(req.deadlineMs - nowMs);
        const { placement, lastEventId } = effect;
        const pairs = codec.writeHeaders({ req, placement, budgetMs, lastEventId });
        health.recordSent(this.upstreamId(), req.id, nowMs);
        const weights = findSentWeights(req, effect.placement);
        if (weights !== undefined) {
            this.endTracking = this.deps.unbegun.track(weights, () => this.withdraw());
        }
        this.cancels.push(this.caller.onDisconnect(() => this.finish({ kind: "callerGone" })));
        this.cancels.push(clock.after(req.deadlineMs - nowMs, () => this.expire()));
        if (!this.connection.isReused) {
            this.cancels.push(clock.after(connectTimeoutMs, () => this.checkConnected()));
        }
        if (effect.needsFreshConnection === false) {
            this.cancels.push(repeatEvery(clock, unresponsivePollIntervalMs, () => this.checkResponsive()));
        }
        const { body } = req;
        this.connection.allowBytes(maxUnparsedBytes);
        try {
            this.connection.client.dispatch({
                path: req.target,
                method: req.method as Dispatcher.HttpMethod,
                headers: pairs.flat(),
                body: body === undefined ? undefined : Buffer.from(body.buffer, body.byteOffset, body.length),
            }, this);
        }
        catch (error) {
            this.onResponseError(undefined, error instanceof Error ? error : new Error(String(error)));
        }
    }

    stop(): void {
        if (!this.isWritten) {
            this.finish({ kind: "notSent", detail: "the instance stops" });
            return;
        }
        this.finish({ kind: "stopped", delivered: this.delivered() });
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.isWritten = true;
        this.controller = controller;
    }

    onResponseStart(
        controller: Dispatcher.DispatchController,
        status: number,
        headers: Readonly<Record<string, string | string[] | undefined>>,
    ): void {
        if (this.isFinished) {
            return;
        }
        this.controller = controller;
        this.connection.allowBytes(maxUnparsedBytes);
        if (classifyStatus(status) === "interim") {
            this.recordInformationalHead();
            return;
        }
        const head = this.deps.codec.readAnswer(status, toHeaderPairs(headers), this.upstreamId());
        const use = this.judgeHead(head);
        if (use.kind === "foreign") {
            this.deps.onForeignAnswer(this.req, this.effect, head);
        }
        if (use.kind === "foreign" || use.kind === "unusable") {
            this.finishLost(use.detail);
            return;
        }
        this.head = head;
        if (use.kind !== "stream" && use.kind !== "continuation") {
            this.endTracking();
        }
        if (head.framing === "connectionClose") {
            this.connection.expectEnd();
        }
        this.deps.health.recordReceived(this.upstreamId(), this.deps.clock.now());
        this.deps.onAnswerHead(this.req, this.effect, head, this.sentMs);
        this.deps.onHeadTime(this.deps.clock.now() - this.sentMs);
        this.answer = createAnswerIntake({
            head,
            use,
            caller: this.caller,
            isResumable: this.req.route.isResumable,
            lastEventId: this.effect.lastEventId,
            pause: () => this.gate.hold(),
        });
    }

    onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
        const { answer } = this;
        if (this.isFinished || answer === undefined || chunk.length === 0) {
            return;
        }
        this.turn.record();
        this.connection.allowBytes(maxUnparsedBytes);
        this.deps.health.recordReceived(this.upstreamId(), this.deps.clock.now());
        const failure = answer.write(chunk);
        if (failure !== undefined) {
            this.finishLost(failure);
            return;
        }
        this.holding.set(answer.heldBytes());
        if (answer.hasEvents()) {
            this.recordBegin();
            this.deps.onEvent(this.req);
        }
    }

    onResponseEnd(): void {
        const { answer } = this;
        if (this.isFinished || answer === undefined) {
            return;
        }
        const end = answer.describeEnd(this.connection.state());
        const incompleteReason = answer.findIncompleteReason(end);
        this.deps.onAnswerEnd(this.req, this.effect, end, incompleteReason);
        if (incompleteReason !== undefined) {
            this.finishLost(incompleteReason);
            return;
        }
        const outcome = answer.complete();
        if (outcome.kind === "rejected") {
            this.recordRejection(outcome.reason);
        }
        else {
            this.deps.health.recordSuccess(this.upstreamId());
        }
        this.finish(outcome);
    }

    onResponseError(_: Dispatcher.DispatchController | undefined, err: Error): void {
        if (this.isFinished) {
            return;
        }
        if (!this.isWritten) {
            this.deps.health.recordFailure(this.upstreamId(), this.deps.clock.now());
            this.finish({ kind: "notSent", detail: err.message });
            return;
        }
        if (this.answer !== undefined) {
            this.deps.onAnswerEnd(
                this.req,
                this.effect,
                this.answer.describeEnd(this.connection.state()),
                err.message,
            );
        }
        this.finishLost(err.message);
    }

    /** An answer that is over is left alone: its connection may serve another request. */
    private resumeAnswer(): void {
        if (!this.isFinished) {
            this.connection.resume();
        }
    }

    /** Undici takes informational heads without end. */
    private recordInformationalHead(): void {
        this.informationalHeads += 1;
        if (this.informationalHeads > maxInformationalHeads) {
            this.finishLost("too many informational heads");
        }
    }

    private upstreamId(): string {
        return this.effect.placement.upstream.id;
    }

    private judgeHead(head: AnswerHead): AnswerUse {
        const { id, method, route } = this.req;
        return judgeAnswerHead(head, {
            id,
            method,
            isStream: route.kind === "stream",
            isRetryable: isRetryable(this.req),
            hasStarted: this.caller.hasStarted(),
        });
    }

    private recordRejection(reason: RejectionReason): void {
        if (reason === "replaced") {
            this.deps.health.recordMisdirected(this.upstreamId());
            return;
        }
        this.deps.health.recordFailure(this.upstreamId(), this.deps.clock.now());
    }

    private checkConnected(): void {
        if (!this.isFinished && !this.isWritten) {
            this.deps.health.recordFailure(this.upstreamId(), this.deps.clock.now());
            this.finish({ kind: "notSent", detail: `connection not established within ${connectTimeoutMs} ms` });
        }
    }

    /** Ends the send when its upstream becomes unresponsive and another send can replace it. */
    private checkResponsive(): void {
        const isUnresponsive = this.deps.health.isUnresponsive(this.upstreamId(), this.deps.clock.now());
        if (this.head === undefined && isUnresponsive && this.effect.mayBeReplaced()) {
            this.finishLost("the upstream became unresponsive");
        }
    }

    private delivered(): StreamProgress | undefined {
        return this.answer?.progress();
    }

    private expire(): void {
        if (!this.isWritten) {
            this.finish({ kind: "notSent", detail: "the deadline passed before the connection was established" });
            return;
        }
        this.finish({ kind: "expired", delivered: this.delivered() });
    }

    private recordBegin(): void {
        if (!this.hasBegun) {
            this.hasBegun = true;
            this.endTracking();
            this.deps.onRunBegin(this.req, this.deps.clock.now() - this.sentMs);
        }
    }

    /** Gives up a send whose run has not begun. Its upstream, which drops it with its connection, has not failed. */
    private withdraw(): void {
        const waitedMs = this.deps.clock.now() - this.sentMs;
        this.deps.onWithdrawn(this.req, this.effect, { waitedMs, hasHead: this.head !== undefined });
        this.finish(
            this.isWritten
                ? { kind: "lost", detail: outdatedDetail, delivered: this.delivered() }
                : { kind: "notSent", detail: outdatedDetail },
        );
    }

    private finishLost(detail: string): void {
        if (!this.isFinished && this.connection.state() !== "open") {
            this.deps.onConnectionEnd(this.req, this.effect);
        }
        this.deps.health.recordFailure(this.upstreamId(), this.deps.clock.now());
        this.finish({ kind: "lost", detail, delivered: this.delivered() });
    }

    private finish(outcome: SendOutcome): void {
        if (this.isFinished) {
            return;
        }
        this.isFinished = true;
        this.endTracking();
        this.turn.close();
        this.connection.resume();
        this.cancels.forEach(cancel => cancel());
        this.holding.close();
        this.deps.health.recordEnded(this.upstreamId(), this.req.id);
        const isComplete = outcome.kind === "answered" || outcome.kind === "finished" || outcome.kind === "rejected";
        const isReusable = isComplete && outcome.kind !== "rejected" && this.head !== undefined
            && !this.head.closesConnection && this.connection.state() === "open";
        if (isComplete) {
            // undici still uses the connection while it reports the end, so it is released only after this callback.
            setImmediate(() => this.deps.connections.release(this.connection, isReusable));
        }
        else {
            // Aborts immediately: a connection that is established a moment later must not send the request any more.
            this.controller?.abort(new Error(outcome.kind));
            this.deps.connections.release(this.connection, false);
        }
        this.onOutcome(outcome);
    }
}

/**
 * Creates the sender.
 *
 * @param deps - Connections, health view and codec.
 * @returns The sender.
 */
export function createUpstreamSender(deps: UpstreamSenderDependencies): SendToUpstream {
    return (req, effect, caller, onOutcome) => {
        const idleMs = effect.needsFreshConnection ? maxFreshIdleMs : maxRetryableIdleMs;
        const { upstream } = effect.placement;
        const weights = findSentWeights(req, effect.placement);
        if (weights !== undefined && !deps.unbegun.mayBegin(weights)) {
            onOutcome({ kind: "notSent", detail: outdatedDetail });
            return () => undefined;
        }
        let send: Send;
        try {
            const connection = deps.connections.acquire(upstream.address, idleMs);
            send = new Send(deps, req, effect, caller, connection, onOutcome);
        }
        catch (error) {
            deps.health.recordFailure(upstream.id, deps.clock.now());
            onOutcome({ kind: "notSent", detail: String(error) });
            return () => undefined;
        }
        send.start();
        return () => send.stop();
    };
}
