/**
 * @module
 * Composition root of the daemon: constructs its components and connects them.
 */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { assembleHints } from "./assemble/assembleHints.js";
import { assembleLimits } from "./assemble/assembleLimits.js";
import { assembleOrders } from "./assemble/assembleOrders.js";
import { assembleRequests } from "./assemble/assembleRequests.js";
import { memoizeByVersion } from "./core/_lib/memoizeByVersion.js";
import { memoizeFor } from "./core/_lib/memoizeFor.js";
import { reuseEqualLists } from "./core/_lib/reuseEqualLists.js";
import { type Catalogue, findEntry, listEntries } from "./core/catalogue/catalogue.js";
import type { Upstream } from "./core/catalogue/catalogueEntry.js";
import { catalogueToSnapshot } from "./core/catalogue/snapshot.js";
import { createLifecycle } from "./core/lifecycle/createLifecycle.js";
import type { RestartStatePart, RestartStateProvider } from "./core/lifecycle/restartState.js";
import { createMembership, type Membership } from "./core/membership/createMembership.js";
import type { PeerAttachment } from "./core/membership/peerAttachment.js";
import { createRetryBudget } from "./core/request/createRetryBudget.js";
import { createStreamReaders } from "./core/request/createStreamReaders.js";
import { createCostRouter } from "./core/routing/createCostRouter.js";
import { createFrequencySketch } from "./core/routing/createFrequencySketch.js";
import { routingPresets } from "./core/routing/routingPresets.js";
import { createPauseDetector } from "./core/time/createPauseDetector.js";
import { createDrainTracker } from "./core/upstreams/createDrainTracker.js";
import { createReportBuffer } from "./core/why/createReportBuffer.js";
import { followCatalogue } from "./io/catalogue/followCatalogue.js";
import { maintainSnapshots } from "./io/catalogue/maintainSnapshots.js";
import { createLogClaims } from "./io/claims/createLogClaims.js";
import { createSystemClock } from "./io/clock/createSystemClock.js";
import { createCallerServer } from "./io/http/createCallerServer.js";
import { trackConnections } from "./io/lifecycle/trackConnections.js";
import { type EngineWatch, watchDrainingEngines } from "./io/lifecycle/watchDrainingEngines.js";
import { readCustomerUse } from "./io/limits/readCustomerUse.js";
import { createLogger } from "./io/logging/createLogger.js";
import { createMetrics } from "./io/metrics/createMetrics.js";
import { createOperatorService } from "./io/operator/createOperatorService.js";
import { createPeerClients } from "./io/peers/createPeerClient.js";
import { createPeerServer } from "./io/peers/createPeerServer.js";
import { createPeerTransport } from "./io/peers/createPeerTransport.js";
import { fetchRestartState } from "./io/peers/fetchRestartState.js";
import { followInstanceList } from "./io/peers/followInstanceList.js";
import { createCallJson } from "./io/platform/callJson.js";
import { createLogClient } from "./io/platform/createLogClient.js";
import { createInstanceListReader, createWeightVersionReader } from "./io/platform/createPlatformClients.js";
import { createEngineClient } from "./io/upstream/createEngineClient.js";
import { createUpstreamClient } from "./io/upstream/createUpstreamClient.js";
import type { Settings } from "./settings/settingsTable.js";

/** A constructed daemon. */
export interface Daemon {
    /** Binds both addresses and joins the fleet. */
    readonly start: () => Promise<void>;
    /** Stops at once, without draining. */
    readonly stop: () => Promise<void>;
    /** Planned stop: leaves the fleet, finishes requests in progress, and aborts only those left at the time limit. */
    readonly drain: () => Promise<void>;
    /** "ip:port" for callers, known after the start. */
    readonly callerAddress: () => string;
    /** "ip:port" for peers and reedwardctl, known after the start. */
    readonly peerAddress: () => string;
}

/** Time limit of a call to a peer, in milliseconds. */
const peerTimeoutMs = 2_000;

/** Time for the last messages to peers before the process stops, in milliseconds. */
const finalGossipMs = 100;

/** Maximum number of ended requests that `reedwardctl why` can explain. */
const maxReports = 2_000;

/** Counters in one row of the count-min sketch that finds frequent prefixes. */
const sketchWidth = 4_096;

/** Interval in which the counters of the sketch decay, in milliseconds. */
const sketchDecayMs = 10_000;

/** Maximum age of the membership view that routing uses, in milliseconds. */
const maxViewAgeMs = 1_000;

/** Maximum size of a buffered response, in bytes. */
const maxAnswerBytes = 32 << 20;

/** Retry budget: a fifth of the traffic, and a reserve for failures that affect many requests at once. */
const retryBudgetOptions = { retryRatio: 0.2, capacity: 100 } as const;

function listUpstreams(catalogue: Catalogue, role: Upstream["role"], id: string): readonly Upstream[] {
    return listEntries(catalogue, "upstream").filter(one => one.role === role && one.serves.includes(id));
}

function listen(server: Server, address: string): Promise<string> {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(address.slice(separator + 1)), host, () => {
            resolve(`${host}:${(server.address() as AddressInfo).port}`);
        });
    });
}

/**
 * Constructs a daemon from its settings.
 *
 * @param settings - The checked settings.
 * @returns The daemon; it does nothing before `start`.
 */
export function createDaemon(settings: Settings): Daemon {
    const clock = createSystemClock();
    const metrics = createMetrics();
    const writeLog = createLogger(settings.instance, settings.logLevel);
    const json = createCallJson(settings.connectTimeoutMs);
    const engines = createEngineClient(json.call);
    const log = settings.logUrl === undefined ? undefined : createLogClient(settings.logUrl, json.call);
    const peers = createPeerClients(settings.peerSecret, peerTimeoutMs);
    const upstreams = createUpstreamClient({
        connectTimeoutMs: settings.connectTimeoutMs,
        silenceTimeoutMs: settings.silenceTimeoutMs,
        beforeOpen: () => pauseDetector.check(),
        onSignal: (call, signal) => {
            drainTracker.recordEngineState(call.upstream.address, signal.isDraining);
            if (signal.isNotRun) {
                drainTracker.recordNotRun(call.upstream.address);
                if (call.upstream.role === "engine") {
                    engineWatch?.readNow(call.upstream.address);
                }
            }
        },
        onMismatch: call => {
            metrics.discardedAnswers.inc({ reason: "correlation" });
            writeLog("answerMismatched", { upstream: call.upstream.id, requestId: call.correlationId });
        },
    });
    const pauseDetector = createPauseDetector(clock, pausedMs => {
        metrics.processPauses.inc();
        writeLog("processPaused", { pausedMs: Math.round(pausedMs) });
        upstreams.discardAllIdleConnections();
    });
    const claims = createLogClaims({
        log,
        clock,
        onAppend: records => {
            metrics.claimAppends.inc();
            metrics.claimRecords.inc(records);
        },
    });
    const readers = createStreamReaders();
    const retrying = {
        retryBudget: createRetryBudget(retryBudgetOptions),
        countRetry: (reason: string) => metrics.retries.inc({ reason }),
        countDenial: (reason: string) => metrics.retryDenials.inc({ reason }),
        now: clock.now,
        random: Math.random,
        silenceTimeoutMs: settings.silenceTimeoutMs,
    };
    const reports = createReportBuffer(maxReports);
    let callerAddress = settings.advertise ?? settings.listen;
    let peerAddress = settings.peerAdvertise ?? settings.peerListen;
    let isStopping = false;
    let follower: ReturnType<typeof followCatalogue> | undefined;
    let stopSnapshots: () => void = () => undefined;
    let stopOrders: () => void = () => undefined;
    let engineWatch: EngineWatch | undefined;
    let resolveDrained: () => void = () => undefined;
    let fleet: Membership | undefined;
    let instanceList: ReturnType<typeof followInstanceList> | undefined;
    let restart: ReturnType<typeof fetchRestartState> | undefined;

    const drainTracker = createDrainTracker({
        clock,
        sendNow: () => fleet?.gossipSoon(),
        countPeers: () => fleet?.view().members.length ?? 1,
    });
    /** Payloads that are attached to the messages between peers. */
    const peerAttachments: readonly PeerAttachment[] = [drainTracker.attachment];
    const catalogue = () => follower!.current();
    const membership = () => fleet!.view();
    /** Cached membership view, at most a second old, because routing reads it for every request. */
    const recentMembership = memoizeFor(maxViewAgeMs, clock.now, membership);
    const isCatalogueLoaded = () => follower?.isLoaded() ?? false;
    const limits = assembleLimits({
        instance: settings.instance,
        log,
        clock,
        writeLog,
        catalogue,
        isCatalogueLoaded,
        membership,
        peers,
    });

    const hints = assembleHints({
        settings,
        clock,
        metrics,
        catalogue,
        membership,
        recentMembership,
        engines,
        peers,
    });

    /** State that a restarted instance copies from a peer. */
    const restartSlots: readonly RestartStateProvider[] = [hints.restartState, limits.restartState];

    const listByRole = {
        engine: memoizeByVersion(catalogue, id => listUpstreams(catalogue(), "engine", id)),
        service: memoizeByVersion(catalogue, id => listUpstreams(catalogue(), "service", id)),
    };

    function listServing(id: string, role: Upstream["role"]): readonly Upstream[] {
        return drainTracker.selectServing(listByRole[role](id));
    }

    const listCandidates = reuseEqualLists(model => listServing(model, "engine"));
    const readSpread = memoizeByVersion(recentMembership, () => {
        const { members } = recentMembership();
        const failureDomains = new Set(members.map(member => member.failureDomain)).size;
        return { instances: members.length, instancesPerCustomer: Math.min(members.length, failureDomains) };
    });
    const router = createCostRouter({
        listCandidates,
        cache: hints.cacheView,
        load: hints.loadView,
        frequencies: createFrequencySketch({ width: sketchWidth, decayMs: sketchDecayMs }),
        preset: () => routingPresets[findEntry(catalogue(), "policy", "policy")?.preset ?? "lectura"],
        readSpread: () => readSpread(""),
        onPlaced: hints.recordPlaced,
        now: clock.now,
        random: Math.random,
    });
    const { cancelStream } = engines;
    const { admission } = limits;
    const exchangeDependencies = { clock, admission, claims, upstreams, cancelStream, maxAnswerBytes };

    const requests = assembleRequests({
        clock,
        metrics,
        writeLog,
        catalogue,
        reports,
        exchange: exchangeDependencies,
        router,
        loadView: hints.loadView,
        retrying: { readers, ...retrying },
        listServices: service => listServing(service, "service"),
    });

    const lifecycle = createLifecycle({
        clock,
        entryLifetimeMs: settings.entryLifetimeMs,
        stopBoundMs: settings.stopBoundMs,
        announceLeaving: () => {
            writeLog("leaving");
            fleet?.leave();
        },
        closeIdle: () => {
            writeLog("draining");
            callerServer.close();
            callerServer.closeIdleConnections();
        },
        warnOfAbort: (requests, remainingMs) => writeLog("stopWouldCut", { requests, remainingMs }),
        onStopped: cut => {
            if (cut.length > 0) {
                writeLog("stopCut", { requests: cut });
            }
            fleet?.stop();
            clock.after(finalGossipMs, () => void stop().then(resolveDrained));
        },
    });
    const isReady = () =>
        !isStopping && (lifecycle.state() === "starting" || lifecycle.state() === "serving")
        && isCatalogueLoaded() && (restart?.isSettled() ?? false) && limits.isSettled();

    function markReadyIfComplete(): void {
        if (isReady()) {
            lifecycle.markReady();
        }
    }

    const callerServer = createCallerServer({
        settings,
        clock,
        metrics,
        writeLog,
        catalogue,
        isCatalogueLoaded,
        membership,
        isReady,
        isClosed: () => lifecycle.state() === "draining" || lifecycle.state() === "stopped",
        serveModel: requests.serveModel,
        serveService: requests.serveService,
    });
    trackConnections(callerServer, lifecycle);
    const peerServer = createPeerServer(
        {
            probe: req => fleet!.handleProbe(req),
            relay: req => new Promise(resolve => fleet!.handleRelay(req, resolve)),
            listMembers: () => membership().members,
            applyHints: hints.applyPayload,
            limits: limits.service,
            exchange: () => ({
                catalogue: isCatalogueLoaded() ? catalogueToSnapshot(catalogue()) : undefined,
                members: membership().members,
                parts: restartSlots.flatMap((slot): readonly RestartStatePart[] => {
                    const payload = slot.collect();
                    return payload === undefined ? [] : [{ name: slot.name, payload }];
                }),
            }),
        },
        createOperatorService({
            instance: settings.instance,
            log,
            clock,
            follower: () => follower!,
            members: () => membership().members,
            isReady,
            readState: engines.readState,
            reports,
            readCustomerUse: () =>
                readCustomerUse({
                    catalogue,
                    members: () => membership().members,
                    instance: settings.instance,
                    clients: peers,
                    listOwnUse: limits.service.listUse,
                }),
        }),
        {
            peerSecret: settings.peerSecret,
            operatorSecret: settings.operatorSecret,
            onRejected: () => writeLog("peerRejected"),
            clock,
        },
    );

    async function start(): Promise<void> {
        pauseDetector.start();
        claims.start();
        follower = followCatalogue({
            log,
            clock,
            random: Math.random,
            writeLog,
            onAdvance: current => {
                metrics.catalogueOffset.set(current.nextOffset);
                markReadyIfComplete();
            },
            countVerdict: verdict => metrics.catalogueRecords.inc({ verdict }),
        });
        const loaded = follower;
        if (log !== undefined) {
            stopOrders = assembleOrders({
                instance: settings.instance,
                log,
                clock,
                writeLog,
                metrics,
                engines,
                follower,
                membership: () => isStopping ? undefined : fleet?.view(),
                readVersions: settings.weightStoreUrl === undefined
                    ? undefined
                    : createWeightVersionReader(settings.weightStoreUrl, json.call),
            });
            stopSnapshots = maintainSnapshots({
                log,
                clock,
                random: Math.random,
                writeLog,
                instance: settings.instance,
                current: () => loaded.isLoaded() ? loaded.current() : undefined,
                retentionMs: settings.logRetentionMs,
            });
        }
        limits.start();
        const boundPeer = await listen(peerServer, settings.peerListen);
        peerAddress = settings.peerAdvertise ?? boundPeer;
        const boundCaller = await listen(callerServer, settings.listen);
        callerAddress = settings.advertise ?? boundCaller;
        joinFleet(follower.adopt);
        hints.start();
        writeLog("started", { callerAddress, peerAddress });
    }

    function listContacts(): readonly string[] {
        const listed = (instanceList?.current() ?? []).filter(one => one.role === "entry" && one.state === "live");
        const addresses = new Set([...settings.seeds, ...listed.map(one => one.address)]);
        addresses.delete(peerAddress);
        return [...addresses];
    }

    function joinFleet(adoptCatalogue: (catalogue: Catalogue) => void): void {
        instanceList = followInstanceList({
            clock,
            random: Math.random,
            readInstances: settings.instanceListUrl === undefined
                ? undefined
                : createInstanceListReader(settings.instanceListUrl, json.call),
            countInstances: () => fleet?.view().members.length ?? 1,
            onRead: drainTracker.applyInstanceList,
        });
        fleet = createMembership({
            clock,
            random: Math.random,
            identity: {
                instance: settings.instance,
                failureDomain: settings.failureDomain,
                callerAddress,
                peerAddress,
            },
            listContacts,
            transport: createPeerTransport(peers),
            attachments: peerAttachments,
            onEvent: event => {
                metrics.membershipEvents.inc({ event: event.kind });
                if (event.kind === "changed") {
                    limits.reviewShards();
                    const { instance, incarnation, state } = event.member;
                    writeLog("memberChanged", { member: instance, incarnation, state });
                }
            },
        });
        restart = fetchRestartState({
            clock,
            clients: peers,
            listContacts,
            providers: restartSlots,
            adoptCatalogue,
            applyMembers: fleet.applyMembers,
            isLoaded: isCatalogueLoaded,
            onSettled: peer => {
                metrics.restartExchanges.inc({ result: peer === undefined ? "none" : "taken" });
                markReadyIfComplete();
            },
        });
        engineWatch = watchDrainingEngines({
            clock,
            readLoad: engines.readLoad,
            listEngines: () => listEntries(catalogue(), "upstream").filter(one => one.role === "engine"),
            membership,
            recordEngine: drainTracker.recordEngineState,
        });
    }

    async function stop(): Promise<void> {
        isStopping = true;
        writeLog("stopping");
        restart?.stop();
        limits.stopPeriodicWork();
        instanceList?.stop();
        engineWatch?.stop();
        fleet?.stop();
        follower?.stop();
        await new Promise<void>(claims.flush);
        claims.stop();
        pauseDetector.stop();
        stopSnapshots();
        stopOrders();
        hints.stop();
        for (const server of [callerServer, peerServer]) {
            server.close();
            server.closeAllConnections();
        }
        await limits.stop();
        await Promise.all([upstreams.close(), peers.close(), json.close()]);
        writeLog("stopped");
    }

    function drain(): Promise<void> {
        return new Promise(resolve => {
            resolveDrained = resolve;
            lifecycle.beginStop();
        });
    }

    return { start, stop, drain, callerAddress: () => callerAddress, peerAddress: () => peerAddress };
}
