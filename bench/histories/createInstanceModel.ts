/**
 * @module
 * One instance on a virtual clock: the real request cores and claims, with sockets and timers that pause and crash.
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
import type { LogModel } from "./createLogModel.js";
import { createShell } from "./createShell.js";
import type { UpstreamModel } from "./createUpstreamModel.js";
import type { PlantedFault, SentRequest } from "./historyTypes.js";

/** An instance with its switches. */
export interface InstanceModel {
    readonly serveService: (req: ServiceRequest, sent: SentRequest) => void;
    readonly serveModel: (req: ModelRequest, sent: SentRequest) => void;
    readonly crash: () => void;
    readonly pause: (forMs: number) => void;
    readonly setUpstreamsCut: (isCut: boolean) => void;
}

/** What an instance is placed in. */
export interface InstanceModelOptions {
    readonly index: number;
    readonly clock: VirtualClock;
    readonly log: LogModel;
    readonly upstreams: UpstreamModel;
    readonly engines: readonly Upstream[];
    readonly services: readonly Upstream[];
    readonly planted: PlantedFault | undefined;
}

/** Silence after which a connection is given up, in milliseconds. */
export const silenceTimeoutMs = 400;

/** Creates an instance and starts it. */
export function createInstanceModel(options: InstanceModelOptions): InstanceModel {
    const { index, clock, log, planted } = options;
    const running = new Set<SentRequest>();
    const held: (() => void)[] = [];
    let life = 0;
    let isPaused = false;
    let areUpstreamsCut = false;
    let claimNumber = 0;
    let keeper: ClaimManager;

    /** Binds an action to the life in which it is bound; a pause holds it back. */
    function bind<T extends readonly unknown[]>(action: (...values: T) => void): (...values: T) => void {
        const ownLife = life;
        return (...values) => {
            if (ownLife !== life) {
                return;
            }
            if (isPaused) {
                held.push(() => action(...values));
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
        keeper = createClaimManager({
            clock: ownClock,
            append: (payloads, onDone) => log.append(index, payloads, bind(onDone)),
            read: (from, waitMs, onDone) => {
                const done = bind(onDone);
                log.read(index, from, waitMs, page => {
                    const isHidden = planted === "truncationUnnoticed" && page.isOk;
                    done(isHidden ? page.map(value => ({ ...value, firstKept: 0 })) : page);
                });
            },
            createClaimId: () => `claim-${index}-${life}-${claimNumber += 1}`,
        });
        keeper.start();
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

    function createHandlers(sent: SentRequest): ReturnType<typeof createShell> {
        return createShell(sent, {
            clock: ownClock,
            bind,
            upstreams: options.upstreams,
            areUpstreamsCut: () => areUpstreamsCut,
            claims: keeper,
            planted,
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
            bind(() => runSteps(steps, createHandlers(sent), finish(sent), fail))();
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
            bind(() => runSteps(steps, createHandlers(sent), finish(sent), fail))();
        },
        crash: () => {
            life += 1;
            held.length = 0;
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
        pause: forMs => {
            const ownLife = life;
            isPaused = true;
            clock.after(forMs, () => {
                if (ownLife !== life) {
                    return;
                }
                isPaused = false;
                running.forEach(sent => {
                    sent.resumedMs = clock.now();
                });
                held.splice(0).forEach(action => action());
            });
        },
        setUpstreamsCut: value => {
            areUpstreamsCut = value;
        },
    };
}
