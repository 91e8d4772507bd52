/**
 * @module
 * One instance on a virtual clock: the production code of requests and claims, with simulated sockets and timers that
 * can pause and crash.
 */
import { ok } from "true-myth/result";
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { type ClaimManager, createClaimManager } from "../../src/core/claims/createClaimManager.js";
import { runSteps } from "../../src/core/effects/runSteps.js";
import { createRetryBudget } from "../../src/core/request/createRetryBudget.js";
import { createStreamReaders } from "../../src/core/request/createStreamReaders.js";
import type { ModelRequest, ServiceRequest } from "../../src/core/request/requestTypes.js";
import { serveModelRequest } from "../../src/core/request/serveModelRequest.js";
import { serveServiceRequest } from "../../src/core/request/serveServiceRequest.js";
import type { Clock } from "../../src/core/time/clock.js";
import { createEffectHandlers } from "./createEffectHandlers.js";
import type { LogModel } from "./createLogModel.js";
import type { UpstreamModel } from "./createUpstreamModel.js";
import type { InjectedFault, SentRequest } from "./historyTypes.js";

/** An instance with its fault switches. */
export interface InstanceModel {
    readonly serveService: (req: ServiceRequest, sent: SentRequest) => void;
    readonly serveModel: (req: ModelRequest, sent: SentRequest) => void;
    readonly crash: () => void;
    readonly pause: (durationMs: number) => void;
    readonly setUpstreamsPartitioned: (isPartitioned: boolean) => void;
}

/** Environment of an instance. */
export interface InstanceModelOptions {
    readonly index: number;
    readonly clock: VirtualClock;
    readonly log: LogModel;
    readonly upstreams: UpstreamModel;
    readonly engines: readonly Upstream[];
    readonly services: readonly Upstream[];
    readonly injectedFault: InjectedFault | undefined;
}

/** Time without bytes after which a connection counts as unresponsive. */
export const silenceTimeoutMs = 400;

/** Creates an instance and starts it. */
export function createInstanceModel(options: InstanceModelOptions): InstanceModel {
    const { index, clock, log, injectedFault } = options;
    const running = new Set<SentRequest>();
    const deferred: (() => void)[] = [];
    let incarnation = 0;
    let isPaused = false;
    let areUpstreamsPartitioned = false;
    let claimNumber = 0;
    let claimManager: ClaimManager;

    /** Binds an action to the current incarnation: a crash drops it, a pause defers it. */
    function bind<T extends readonly unknown[]>(action: (...values: T) => void): (...values: T) => void {
        const ownIncarnation = incarnation;
        return (...values) => {
            if (ownIncarnation !== incarnation) {
                return;
            }
            if (isPaused) {
                deferred.push(() => action(...values));
                return;
            }
            action(...values);
        };
    }

    const ownClock: Clock = {
        now: clock.now,
        wallNow: clock.wallNow,
        after: (delayMs, action) => {
            let isCancelled = false;
            clock.after(
                delayMs,
                bind(() => {
                    if (!isCancelled) {
                        action();
                    }
                }),
            );
            return () => {
                isCancelled = true;
            };
        },
    };

    function start(): void {
        claimManager = createClaimManager({
            clock: ownClock,
            append: (payloads, onDone) => log.append(index, payloads, bind(onDone)),
            read: (from, waitMs, onDone) => {
                const done = bind(onDone);
                log.read(index, from, waitMs, page => {
                    const isTruncationHidden = injectedFault === "truncationUnnoticed" && page.isOk;
                    done(isTruncationHidden ? page.map(value => ({ ...value, firstKept: 0 })) : page);
                });
            },
            createClaimId: () => `claim-${index}-${incarnation}-${claimNumber += 1}`,
        });
        claimManager.start();
    }

    const readers = createStreamReaders();
    const retrying = {
        retryBudget: createRetryBudget({ retryRatio: 0.2, capacity: 20 }),
        countRetry: () => undefined,
        countDenial: () => undefined,
        now: clock.now,
        random: clock.random,
        silenceTimeoutMs,
    };

    function createHandlersFor(sent: SentRequest): ReturnType<typeof createEffectHandlers> {
        return createEffectHandlers(sent, {
            clock: ownClock,
            bind,
            upstreams: options.upstreams,
            areUpstreamsPartitioned: () => areUpstreamsPartitioned,
            claims: claimManager,
            injectedFault,
        });
    }

    function finish(sent: SentRequest): () => void {
        return () => {
            running.delete(sent);
        };
    }

    function fail(err: unknown): void {
        throw err instanceof Error ? err : new Error(String(err));
    }

    start();
    return {
        serveService: (req, sent) => {
            const steps = serveServiceRequest(req, {
                ...retrying,
                wallNow: clock.wallNow,
                rankUpstreams: () => options.services,
            });
            running.add(sent);
            bind(() => runSteps(steps, createHandlersFor(sent), finish(sent), fail))();
        },
        serveModel: (req, sent) => {
            const steps = serveModelRequest(req, {
                ...retrying,
                readers,
                trackInFlight: () => undefined,
                reportFeedback: () => undefined,
                chooseUpstream: route => {
                    const upstream = options.engines.find(one => !route.excluded.has(one.id));
                    return upstream === undefined
                        ? ok({ upstream: options.engines[0]!, cachedBlocks: 0, candidates: [] })
                        : ok({ upstream, cachedBlocks: 0, candidates: [] });
                },
            });
            running.add(sent);
            bind(() => runSteps(steps, createHandlersFor(sent), finish(sent), fail))();
        },
        crash: () => {
            incarnation += 1;
            deferred.length = 0;
            isPaused = false;
            for (const sent of running) {
                sent.isInstanceLost = true;
                if (sent.ends.length === 0) {
                    sent.ends.push({ end: { kind: "closed" }, atMs: clock.now() });
                }
            }
            running.clear();
            start();
        },
        pause: durationMs => {
            const ownIncarnation = incarnation;
            isPaused = true;
            clock.after(durationMs, () => {
                if (ownIncarnation !== incarnation) {
                    return;
                }
                isPaused = false;
                running.forEach(sent => {
                    sent.resumedMs = clock.now();
                });
                deferred.splice(0).forEach(action => action());
            });
        },
        setUpstreamsPartitioned: value => {
            areUpstreamsPartitioned = value;
        },
    };
}
