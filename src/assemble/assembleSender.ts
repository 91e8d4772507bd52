/**
 * @module
 * Assembles the sends to upstreams, and what is learned from their answers: weights, load, signals and ends.
 */
import { millisecondsPerSecond } from "../core/constants.js";
import type { StatedLoad } from "../core/load/loadTypes.js";
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import type { Placer } from "../core/placement/createPlacer.js";
import type { AnswerEnd } from "../core/proxy/answerEnd.js";
import type { AnswerMemory } from "../core/proxy/createAnswerMemory.js";
import type { SendEffect } from "../core/proxy/proxyEffects.js";
import type { Placement, ProxyRequest } from "../core/proxy/proxyTypes.js";
import type { UpstreamRecord } from "../core/registry/upstreamRecord.js";
import { computeBeginLimitMs } from "../core/weights/computeBeginLimitMs.js";
import type { BeginTimes } from "../core/weights/createBeginTimes.js";
import { createUnbegunSends } from "../core/weights/createUnbegunSends.js";
import { findSentWeights } from "../core/weights/findSentWeights.js";
import { readArrived } from "../io/_lib/readArrived.js";
import type { ConnectionPool } from "../io/proxy/createConnectionPool.js";
import type { OutdatedWeights } from "../io/proxy/createRequestRunner.js";
import { createUpstreamSender } from "../io/proxy/createUpstreamSender.js";
import { describeMetQueue } from "../io/proxy/describeMetQueue.js";
import type { AnswerHead } from "../io/proxy/proxyCodec.js";
import type { SendToUpstream } from "../io/proxy/upstreamSenderTypes.js";
import type { InstanceQuarantine } from "./assembleQuarantine.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** Minimum interval between two reads of the weights of one engine, in milliseconds. */
const weightsReadIntervalMs = 400;

/** Lowest status of an upstream's failure. */
const serverErrorStatus = 500;

/** The parts of the instance that sends use. */
export interface SenderParts {
    readonly placer: Pick<Placer, "recordAnswerStart">;
    readonly sends: Pick<InstanceQuarantine["sends"], "recordEvent" | "recordConnectionEnd">;
    readonly beginTimes: Pick<BeginTimes, "record">;
    readonly connections: ConnectionPool;
    readonly answerMemory: AnswerMemory;
    /** Whether the instance was told to stop. */
    readonly isLeaving: () => boolean;
}

/** Sends of the instance. */
export interface InstanceSender {
    readonly send: SendToUpstream;
    /** Describes for how long the weights of a send have been outdated; empty while they are the newest. */
    readonly describeOutdated: (req: ProxyRequest, placement: Placement) => Partial<OutdatedWeights>;
}

/**
 * Assembles the sends.
 *
 * @param context - The instance.
 * @param views - The views that answers update.
 * @param parts - The parts of the instance that sends use.
 * @returns The sends.
 */
export function assembleSender(
    context: InstanceContext,
    views: InstanceViews,
    { placer, sends, beginTimes, connections, answerMemory, isLeaving }: SenderParts,
): InstanceSender {
    const { settings, ports, clock, writeLog, metrics } = context;
    /** Engines whose weights were read within the interval. */
    const recentlyRead = new Set<string>();

    /** Reads the weights of an engine that rejected a request because of its version; one read per engine at a time. */
    function refreshWeights(engine: UpstreamRecord, model: string): void {
        if (recentlyRead.has(engine.id)) {
            return;
        }
        recentlyRead.add(engine.id);
        ports.engines.readState(engine, model).then(state => {
            if (state?.version !== undefined) {
                views.weights.recordLoaded(engine.id, model, state.version);
                views.notifyChange();
            }
        }).catch((error: unknown) => logInternalFailure(writeLog, error))
            .finally(() => clock.after(weightsReadIntervalMs, () => recentlyRead.delete(engine.id)));
    }

    function recordMetQueue(req: ProxyRequest, placement: Placement, load: StatedLoad, tookMs: number): void {
        const queue = describeMetQueue(req, placement, load, tookMs);
        if (queue !== undefined) {
            metrics.metQueues.inc({ expected: String(queue.isExpected) });
            writeLog("queueMet", queue.fields);
        }
    }

    /** An answer of another process states another load, and one that failed says nothing about the pace. */
    function recordLoad(req: ProxyRequest, placement: Placement, head: AnswerHead, sentMs: number): void {
        const { upstream } = placement;
        const { load, rejection, status } = head;
        if (load !== undefined && rejection !== "replaced") {
            recordMetQueue(req, placement, load, clock.now() - sentMs);
            views.loads.recordAnswer(upstream.id, load, {
                sentMs,
                receivedMs: clock.now(),
                isTimed: req.prompt === undefined && rejection === undefined && status < serverErrorStatus,
                isRejected: rejection === "busy",
            });
        }
    }

    function recordAnswerHead(req: ProxyRequest, effect: SendEffect, head: AnswerHead, sentMs: number): void {
        views.signals.recordAnswer(effect.placement.upstream, head, sentMs);
        recordLoad(req, effect.placement, head, sentMs);
        if (!head.isNotRun) {
            placer.recordAnswerStart(req, effect.placement);
        }
        if (head.weightsVersion !== undefined && req.prompt !== undefined) {
            views.weights.recordLoaded(effect.placement.upstream.id, req.prompt.model, head.weightsVersion);
        }
        else if (head.rejection === "otherWeights" && req.prompt !== undefined) {
            refreshWeights(effect.placement.upstream, req.prompt.model);
        }
    }

    function recordAnswerEnd(
        req: ProxyRequest,
        effect: SendEffect,
        end: AnswerEnd,
        incompleteReason: string | undefined,
    ): void {
        const { framing, connection, eventStream } = end;
        const isComplete = incompleteReason === undefined;
        metrics.answerEnds.inc({ framing, connection, complete: String(isComplete) });
        const unfinishedBytes = eventStream?.unfinishedBytes ?? 0;
        if (isComplete && connection === "open" && unfinishedBytes === 0) {
            return;
        }
        writeLog("answerEndJudged", {
            requestId: req.id,
            upstream: effect.placement.upstream.id,
            framing,
            connection,
            lastEventId: eventStream?.lastEventId,
            unfinishedBytes,
            isComplete,
            reason: incompleteReason,
        });
    }

    const beginLimitMs = computeBeginLimitMs(settings.weightsLimitMs);
    const unbegun = createUnbegunSends({
        clock,
        findDueMs: ({ model, version }) => {
            const sinceMs = views.weights.outdatedSinceMs(model, version);
            // While it leaves, an instance owes its callers their answers before the limit of weights.
            return sinceMs === undefined || isLeaving() ? undefined : sinceMs + beginLimitMs;
        },
        readArrived: () => readArrived(),
    });
    views.onTargets(unbegun.recheck);

    /** Describes for how long weights have been outdated; undefined while they are the newest. */
    function describeOutdated(req: ProxyRequest, placement: Placement): Partial<OutdatedWeights> {
        const sent = findSentWeights(req, placement);
        const outdated = sent === undefined ? undefined : views.weights.findOutdated(sent.model, sent.version);
        return outdated === undefined
            ? {}
            : { outdatedMs: Math.round(clock.now() - outdated.sinceMs), isAgeObserved: outdated.isObserved };
    }

    const send = createUpstreamSender({
        clock,
        unbegun,
        onRunBegin: ({ prompt }, tookMs) => {
            if (prompt !== undefined) {
                beginTimes.record(prompt.model, tookMs);
            }
        },
        onWithdrawn: (req, { placement }, { waitedMs, hasHead }) => {
            metrics.withdrawnSends.inc();
            writeLog("sendWithdrawn", {
                requestId: req.id,
                upstream: placement.upstream.id,
                weightsVersion: placement.weightsVersion,
                ...describeOutdated(req, placement),
                waitedMs: Math.round(waitedMs),
                hasHead,
            });
        },
        answerMemory,
        codec: ports.codec,
        connections,
        health: views.health,
        onAnswerHead: recordAnswerHead,
        onHeadTime: tookMs => metrics.headSeconds.observe(tookMs / millisecondsPerSecond),
        onAnswerEnd: recordAnswerEnd,
        onEvent: sends.recordEvent,
        onConnectionEnd: (req, { placement }) => sends.recordConnectionEnd(req, placement.upstream),
        onForeignAnswer: (req, effect, { requestId: answeredId, status, isNotRun }) => {
            const upstream = effect.placement.upstream.id;
            writeLog("foreignAnswer", { requestId: req.id, upstream, answeredId, status, isNotRun });
        },
    });
    return { send, describeOutdated };
}
