/**
 * @module
 * An instance of the router before modelled engines: the placer, the retry decisions and what is known of engines.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { ReportedUse } from "../../src/core/placement/createUpstreamUseTracker.js";
import { createFleetRetryBudget } from "../../src/core/proxy/createFleetRetryBudget.js";
import type { SendEffect } from "../../src/core/proxy/proxyEffects.js";
import type { ProxyRequest, SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import { createEndTracker } from "../../src/core/quarantine/createEndTracker.js";
import { createGuardedPlacer } from "../../src/core/quarantine/createGuardedPlacer.js";
import { createPartGuard } from "../../src/core/quarantine/createPartGuard.js";
import type { QuarantineChange } from "../../src/core/quarantine/partGuardTypes.js";
import type { QuarantineMessage } from "../../src/core/quarantine/quarantineMessage.js";
import type { UpstreamRecord } from "../../src/core/registry/upstreamRecord.js";
import { createPausableClock } from "../support/createPausableClock.js";
import { drawTransitMs } from "../support/drawTransitMs.js";
import { createPlacerFixture } from "../support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../support/proxyFixtures.js";
import { serveOnModel } from "../support/serveOnModel.js";
import type { EngineFleetModel } from "./createEngineFleetModel.js";

/** A request of a caller at an instance. */
export interface RouterCall {
    readonly id: string;
    readonly parts: readonly string[];
    readonly onBegin: () => void;
    readonly onEnd: (isAnswered: boolean) => void;
}

/** What an instance's heartbeat carries. */
export interface RouterHeartbeat {
    readonly digest: string | undefined;
    readonly uses: readonly ReportedUse[];
}

/** An instance. */
export interface RouterModel {
    readonly name: string;
    readonly serve: (call: RouterCall) => void;
    readonly applyChange: (record: UpstreamRecord, isStarted: boolean) => void;
    readonly receive: (from: string, message: QuarantineMessage) => void;
    /** What heartbeats carry: the digest of the quarantine, and the use of engines. */
    readonly describe: () => RouterHeartbeat;
    readonly applyHeartbeat: (from: string, heartbeat: RouterHeartbeat) => void;
    readonly freezeFor: (durationMs: number) => void;
    readonly isFrozen: () => boolean;
    /** Ends the process; nothing that it has begun has an effect any more. */
    readonly stop: () => void;
}

/** Options of {@link createRouterModel}. */
export interface RouterModelOptions {
    readonly name: string;
    readonly engines: EngineFleetModel;
    readonly countInstances: () => number;
    /** Names of the other instances that run. */
    readonly listOthers: () => readonly string[];
    readonly send: (from: string, names: readonly string[], message: QuarantineMessage) => void;
    /** Called when the quarantine has changed, with whether the part is held back now. */
    readonly onChange: (instance: string, change: QuarantineChange, isHeld: boolean) => void;
    /** Called when a request has reached an engine. */
    readonly onArrival: (instance: string, parts: readonly string[]) => void;
}

const partTokens = 400;
const callerTimeoutMs = 4_000;

/** Creates an instance that knows the engines that run. */
export function createRouterModel(clock: VirtualClock, options: RouterModelOptions): RouterModel {
    const { name, engines } = options;
    const ownClock = { ...clock, ...createPausableClock(clock) };
    const fixture = createPlacerFixture(ownClock, []);
    const { registry, health, use } = fixture;
    const guard = createPartGuard({
        clock: ownClock,
        self: name,
        listOthers: options.listOthers,
        send: (names, message) => (isStopped ? undefined : options.send(name, names, message)),
        onChange: change => {
            const entry = guard.list().find(one => one.part === change.part);
            options.onChange(name, change, entry?.state === "held");
            placer.recheckGuard();
        },
    });
    const placer = createGuardedPlacer(fixture.placer, guard, ownClock);
    const tracker = createEndTracker(guard.recordAnswer);
    registry.applyList(engines.list(), clock.now());
    const retryBudget = createFleetRetryBudget({
        ratio: 0.2,
        slack: 54,
        windowMs: 10_000,
        countInstances: options.countInstances,
    });
    let isStopped = false;
    const checking = new Set<string>();

    /** Checks whether a process still listens at the address of an engine that has closed a connection. */
    function checkEngine({ id, address }: UpstreamRecord): void {
        if (checking.has(id)) {
            return;
        }
        checking.add(id);
        clock.after(drawTransitMs(clock.random), () => {
            const isListening = engines.isListening(address);
            respond(() => {
                checking.delete(id);
                if (isListening) {
                    tracker.recordAlive(id);
                    return;
                }
                const end = tracker.confirmEnd(id, clock.now());
                if (end !== undefined) {
                    guard.recordEnd(end);
                }
            });
        });
    }

    function createRequest({ id, parts }: RouterCall): ProxyRequest {
        const all = [...parts, `own-${id}`].map(part => ({ id: part, tokens: partTokens }));
        const prompt = createPrompt({ parts: all, promptTokens: all.length * partTokens });
        const times = { arrivedMs: clock.now(), deadlineMs: clock.now() + callerTimeoutMs };
        return createProxyRequest("stream", { id, prompt, ...times }, true);
    }

    /** Runs an action of this process after the way back. */
    function respond(action: () => void): void {
        clock.after(drawTransitMs(clock.random), () => ownClock.after(0, () => (isStopped ? undefined : action())));
    }

    function send(
        req: ProxyRequest,
        effect: SendEffect,
        call: RouterCall,
        resume: (outcome: SendOutcome) => void,
    ): void {
        const { upstream } = effect.placement;
        let isEnded = false;
        health.recordSent(upstream.id, req.id, clock.now());
        const tracked = tracker.begin({ id: req.id, parts: call.parts }, upstream, clock.now());

        function finish(outcome: SendOutcome): void {
            if (isEnded) {
                return;
            }
            isEnded = true;
            cancelDeadline();
            health.recordEnded(upstream.id, req.id);
            if (outcome.kind === "finished") {
                tracked.recordAnswer();
            }
            else {
                tracked.end();
            }
            if (outcome.kind !== "notSent" && outcome.kind !== "rejected") {
                guard.endProbe(req.id);
            }
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

        function arrive(): void {
            if (isStopped) {
                return;
            }
            const result = engines.arrive(upstream, {
                parts: call.parts,
                promptTokens: req.prompt?.promptTokens ?? 0,
                onBegin: () => {
                    call.onBegin();
                    respond(() => {
                        health.recordReceived(upstream.id, clock.now());
                        tracked.recordEvent(clock.now());
                    });
                },
                onAnswer: () =>
                    respond(() => {
                        health.recordSuccess(upstream.id);
                        finish({ kind: "finished" });
                    }),
                onConnectionEnd: () =>
                    respond(() => {
                        tracked.recordConnectionEnd();
                        checkEngine(upstream);
                        fail({ kind: "lost", detail: "other side closed", delivered: undefined });
                    }),
            });
            if (result === "accepted") {
                options.onArrival(name, call.parts);
            }
            else if (result === "refused") {
                respond(() => fail({ kind: "notSent", detail: "refused" }));
            }
            else {
                if (result === "replaced") {
                    respond(() => health.recordMisdirected(upstream.id));
                }
                const reason = result;
                respond(() => fail({ kind: "rejected", status: 503, reason, retryAfterMs: undefined }));
            }
        }
        clock.after(drawTransitMs(clock.random), arrive);
    }

    function run(call: RouterCall): void {
        const req = createRequest(call);
        serveOnModel(req, {
            now: clock.now,
            placer,
            retryBudget,
            send: (effect, resume) => send(req, effect, call, resume),
            onEnd: call.onEnd,
        });
    }

    return {
        name,
        serve: call => {
            ownClock.after(0, () => (isStopped ? call.onEnd(false) : run(call)));
        },
        applyChange: (record, isStarted) => {
            ownClock.after(0, () => {
                if (isStarted) {
                    registry.applyChanges([{ kind: "put", record }], clock.now());
                }
                else if (registry.find(record.id)?.startedAtMs === record.startedAtMs) {
                    registry.applyChanges([{ kind: "removed", id: record.id }], clock.now());
                }
                placer.dispatch();
            });
        },
        receive: (from, message) => {
            ownClock.after(0, () => (isStopped ? undefined : guard.receive(from, message)));
        },
        describe: () => ({ digest: guard.digest(), uses: use.listOwn() }),
        applyHeartbeat: (from, { digest, uses }) => {
            ownClock.after(0, () => {
                if (!isStopped) {
                    guard.compareDigest(from, digest);
                    use.updatePeer(from, uses);
                }
            });
        },
        freezeFor: durationMs => {
            ownClock.pauseFor(durationMs);
            ownClock.after(0, guard.clear);
            ownClock.after(0, tracker.clear);
        },
        isFrozen: ownClock.isPaused,
        stop: () => {
            isStopped = true;
        },
    };
}
