/**
 * @module
 * An instance of the router before modelled upstreams: the placer, the retry decisions and what is known of limits.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import { maxDirectPeers } from "../../src/core/fleet/planHeartbeats.js";
import { createUpstreamPermits } from "../../src/core/permits/createUpstreamPermits.js";
import type { PermitMessage } from "../../src/core/permits/permitMessage.js";
import { createFleetRetryBudget } from "../../src/core/proxy/createFleetRetryBudget.js";
import type { SendEffect } from "../../src/core/proxy/proxyEffects.js";
import type { ProxyRequest, SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import { createSignalExchange } from "../../src/core/signals/createSignalExchange.js";
import { createSignalView } from "../../src/core/signals/createSignalView.js";
import type { SignalMessage } from "../../src/core/signals/signalReport.js";
import { repeatEvery } from "../../src/core/time/repeatEvery.js";
import { createPausableClock } from "../support/createPausableClock.js";
import { drawTransitMs } from "../support/drawTransitMs.js";
import { createPlacerFixture } from "../support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../support/proxyFixtures.js";
import { serveOnModel } from "../support/serveOnModel.js";
import type { FleetNetwork, PeerMessage } from "./createFleetNetwork.js";
import type { LimitedUpstreams, UpstreamHead } from "./createLimitedUpstreams.js";

/** A request of a caller at an instance. */
export interface InstanceCall {
    readonly id: string;
    /** Prompt part that the request shares with others. */
    readonly sharedPart: string;
    readonly onEnd: (result: "answered" | "refused" | "failed", retryAfterMs: number | undefined) => void;
}

/** An instance. */
export interface LimitInstance {
    readonly name: string;
    readonly serve: (call: InstanceCall) => void;
    readonly freezeFor: (durationMs: number) => void;
    /** Cuts the instance from the upstreams, or ends that. */
    readonly setCut: (isCut: boolean) => void;
    /** Ends the process; nothing that it has begun has an effect any more. */
    readonly stop: () => void;
}

/** Options of {@link createLimitInstance}. */
export interface LimitInstanceOptions {
    readonly name: string;
    readonly upstreams: LimitedUpstreams;
    readonly network: FleetNetwork;
    readonly countInstances: () => number;
    /** Called when a request has reached an upstream. */
    readonly onArrival: (instance: string, upstream: string) => void;
    /** Called when the head of an answer has reached the instance. */
    readonly onHead: (instance: string, upstream: string, head: UpstreamHead) => void;
}

const partTokens = 300;
const callerTimeoutMs = 4_000;
const connectTimeoutMs = 400;

/** Interval at which an instance lists the others, and the shortest pause that a process notices, in milliseconds. */
const candidateIntervalMs = 300;
const detectedPauseMs = 750;

/** Creates an instance that knows all upstreams. */
export function createLimitInstance(clock: VirtualClock, options: LimitInstanceOptions): LimitInstance {
    const { name, upstreams } = options;
    const ownClock = { ...clock, ...createPausableClock(clock) };
    const signals = createSignalView({
        self: name,
        findStartMs: upstream => registry.find(upstream)?.startedAtMs,
        onChange: ({ upstream, source }) => {
            permits.drop(upstream);
            if (source === name) {
                exchange.report(upstream);
            }
        },
    });
    const findRate = (upstream: string) => signals.findRateLimit(upstream, clock.now());
    const permits = createUpstreamPermits({
        clock: ownClock,
        self: name,
        listCandidates: () => [name, ...member.listOthers()],
        viewTimeoutMs: () => member.timeoutMs(),
        isFleetDirect: () => member.isDirect(),
        findRate,
        isKnown: upstream => registry.find(upstream) !== undefined,
        send: (to, message) => member.send([to], message),
        onGranted: () => undefined,
        onChange: () => (isStopped ? undefined : placer.recheck()),
    });
    const exchange = createSignalExchange({
        clock: ownClock,
        random: clock.random,
        listReceivers: upstream => {
            const owner = permits.findOwner(upstream);
            return member.isDirect() || owner === undefined
                ? member.listOthers()
                : [owner].filter(one => one !== name);
        },
        isFleetDirect: () => member.isDirect(),
        countOthers: () => member.listOthers().length,
        digest: signals.digest,
        listReports: () => signals.listReports(clock.now()),
        send: (names, message) => member.send(names, message),
    });
    const { registry, health, use, placer } = createPlacerFixture(
        ownClock,
        [],
        options.countInstances() <= maxDirectPeers,
        permits,
    );
    registry.applyList(upstreams.records, clock.now());
    const retryBudget = createFleetRetryBudget({
        ratio: 0.2,
        slack: 54,
        windowMs: 10_000,
        countInstances: options.countInstances,
    });
    let isStopped = false;
    let isCut = false;
    const member = options.network.join({
        name,
        clock: ownClock,
        receive: receivePeer,
        digest: signals.digest,
        compareDigest: exchange.compareDigest,
        listUses: use.listOwn,
        applyUses: use.updatePeer,
    });
    repeatEvery(ownClock, candidateIntervalMs, permits.update);

    function receivePeer(from: string, message: PeerMessage): void {
        if ("signals" in message) {
            signals.applyReports((message as SignalMessage).signals, clock.now());
        }
        else {
            permits.receive(from, message as PermitMessage);
        }
    }

    function createRequest({ id, sharedPart }: InstanceCall): ProxyRequest {
        const parts = ["style", sharedPart, `own-${id}`].map(part => ({ id: part, tokens: partTokens }));
        const prompt = createPrompt({ parts, promptTokens: parts.length * partTokens });
        const times = { arrivedMs: clock.now(), deadlineMs: clock.now() + callerTimeoutMs };
        return createProxyRequest("stream", { id, prompt, ...times }, true);
    }

    /** Runs an action of this process after the way back. */
    function respond(action: () => void): void {
        clock.after(drawTransitMs(clock.random), () => ownClock.after(0, () => (isStopped ? undefined : action())));
    }

    function send(req: ProxyRequest, { placement }: SendEffect, resume: (outcome: SendOutcome) => void): void {
        const { upstream } = placement;
        const sentMs = clock.now();
        let isEnded = false;
        health.recordSent(upstream.id, req.id, clock.now());

        function finish(outcome: SendOutcome): void {
            if (isEnded) {
                return;
            }
            isEnded = true;
            cancelDeadline();
            health.recordEnded(upstream.id, req.id);
            placer.end(req);
            resume(outcome);
        }

        function fail(outcome: SendOutcome): void {
            health.recordFailure(upstream.id, clock.now());
            finish(outcome);
        }
        const cancelDeadline = ownClock.after(
            req.deadlineMs - clock.now(),
            () => finish({ kind: "expired", delivered: undefined }),
        );

        function receiveHead(head: UpstreamHead, sentMs: number): void {
            options.onHead(name, upstream.id, head);
            const { requestsPerSecond } = head;
            const stated = requestsPerSecond === undefined ? [] : [{ kind: "rateLimit", requestsPerSecond } as const];
            const answer = { signals: { stated, malformed: [] }, isRun: true, sentMs, receivedMs: clock.now() };
            signals.recordAnswer({ upstream, ...answer });
            health.recordReceived(upstream.id, clock.now());
            placer.recordAnswerStart(req, placement);
        }

        function arrive(): void {
            if (isStopped) {
                return;
            }
            options.onArrival(name, upstream.id);
            const isAccepted = upstreams.arrive(upstream.id, {
                onHead: head => respond(() => receiveHead(head, sentMs)),
                onEnd: () =>
                    respond(() => {
                        health.recordSuccess(upstream.id);
                        finish({ kind: "finished" });
                    }),
            });
            if (!isAccepted) {
                const rejected = { kind: "rejected", status: 503, reason: "busy", retryAfterMs: undefined } as const;
                respond(() => fail(rejected));
            }
        }
        if (isCut) {
            ownClock.after(connectTimeoutMs, () => fail({ kind: "notSent", detail: "no connection" }));
        }
        else {
            clock.after(drawTransitMs(clock.random), arrive);
        }
    }

    function run(call: InstanceCall): void {
        const req = createRequest(call);
        serveOnModel(req, {
            now: clock.now,
            placer,
            retryBudget,
            send: (effect, resume) => send(req, effect, resume),
            onEnd: (isAnswered, refusal) => {
                const unanswered = refusal === undefined ? "failed" : "refused";
                call.onEnd(isAnswered ? "answered" : unanswered, refusal?.retryAfterMs);
            },
        });
    }

    return {
        name,
        serve: call => {
            ownClock.after(0, () => (isStopped ? undefined : run(call)));
        },
        freezeFor: durationMs => {
            ownClock.pauseFor(durationMs);
            if (durationMs > detectedPauseMs) {
                ownClock.after(0, permits.clear);
            }
        },
        setCut: next => {
            isCut = next;
        },
        stop: () => {
            isStopped = true;
            member.leave();
        },
    };
}
