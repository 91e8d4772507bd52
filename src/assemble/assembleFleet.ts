/**
 * @module
 * Assembles the instance's part in the fleet: discovery and heartbeats.
 */
import { createFleetView, type FleetMember } from "../core/fleet/createFleetView.js";
import { createLoadingReporter } from "../core/fleet/createLoadingReporter.js";
import { createLoadingView } from "../core/fleet/createLoadingView.js";
import { createPrefillReporter } from "../core/fleet/createPrefillReporter.js";
import type { FleetInstance, Heartbeat } from "../core/fleet/heartbeat.js";
import type { PeerMessage } from "../core/fleet/parseFleetMessage.js";
import { maxDirectPeers } from "../core/fleet/planHeartbeats.js";
import type { Prefill } from "../core/fleet/prefillReport.js";
import type { PartGuard } from "../core/quarantine/partGuardTypes.js";
import type { StoreReadPlan } from "../core/store/planStoreReads.js";
import { repeatEvery } from "../core/time/repeatEvery.js";
import {
    type LeaseClaim,
    type LeaseKnowledge,
    type LeaseRelease,
    unknownEra,
} from "../core/weights/createRolloutLease.js";
import { createPeerStateReader } from "../io/fleet/createPeerStateReader.js";
import { startHeartbeats } from "../io/fleet/startHeartbeats.js";
import type { ListenerGroup } from "../io/http/createListenerGroup.js";
import type { Feeds } from "./assembleFeeds.js";
import { assemblePeerState, type PeerStates } from "./assemblePeerState.js";
import type { InstancePermits } from "./assemblePermits.js";
import type { InstanceQuotas } from "./assembleQuotas.js";
import type { InstanceViews } from "./assembleViews.js";
import { createHeartbeatComposer } from "./createHeartbeatComposer.js";
import { createMemberLog } from "./createMemberLog.js";
import { createPeerMessenger } from "./createPeerMessenger.js";
import { discoverPeers } from "./discoverPeers.js";
import type { InstanceContext } from "./routerPorts.js";

/** The fleet as seen by this instance. */
export interface Fleet {
    readonly listLive: () => readonly FleetMember[];
    readonly countInstances: () => number;
    /** Number of other instances that are known or may run at a known address; undefined before the addresses are read. */
    readonly countAddresses: () => number | undefined;
    /** Whether each heartbeat of an instance reaches all others directly. */
    readonly isDirect: () => boolean;
    /** Whether the fleet is small, or heartbeats of the others have had time to arrive. */
    readonly isSettled: () => boolean;
    readonly self: () => FleetInstance;
    /** Sends heartbeats without waiting for the next interval. */
    readonly sendNow: () => void;
    /** Reports to peers which engines load, and the lease under which they do. */
    readonly reportLoading: () => void;
    /** Reports to peers that an engine is about to prefill shared parts. */
    readonly reportPrefill: (prefill: Prefill) => void;
    /** Sends a message to instances by name. */
    readonly sendMessage: (names: readonly string[], message: PeerMessage) => void;
    /** Time without a sign after which an instance counts as failed, in milliseconds. */
    readonly timeoutMs: () => number;
    /** Returns this instance's state for a peer; what the peer has already is left out. */
    readonly describeState: PeerStates["describe"];
    /** Milliseconds since the list of upstreams was read, by this instance or by the peer that it was copied from. */
    readonly upstreamsAgeMs: () => number;
    /** The same of the operator's records. */
    readonly operatorAgeMs: () => number;
    /** Forgets how new the copies are, after a pause of the process. */
    readonly forgetAges: () => void;
    readonly stop: () => void;
}

/** State of the instance's other parts that heartbeats report, and where reported leases go. */
export interface FleetSources {
    readonly state: () => FleetInstance["state"];
    readonly listLoading: () => readonly string[];
    readonly heldLease: () => LeaseClaim | undefined;
    readonly recordLease: (claim: LeaseClaim) => void;
    readonly describeLeaseKnowledge: () => LeaseKnowledge | undefined;
    readonly recordLeaseKnowledge: (knowledge: LeaseKnowledge) => void;
    readonly describeLeaseRelease: () => LeaseRelease | undefined;
    readonly recordLeaseRelease: (release: LeaseRelease) => void;
    readonly plan: () => StoreReadPlan;
    readonly listeners: Pick<ListenerGroup, "add">;
    /** Detects a pause of the process. */
    readonly checkPause: () => void;
    readonly quarantine: Pick<PartGuard, "digest" | "compareDigest" | "receive">;
    readonly permits: Pick<InstancePermits, "digest" | "compareDigest" | "receive" | "update">;
    readonly quotas: Pick<InstanceQuotas, "receive" | "update">;
}

/** Time after the start within which the heartbeats of the others arrive, in milliseconds. */
const settlingMs = 1_000;

/** Interval at which members that left are noticed, in milliseconds. */
const updateIntervalMs = 300;

/**
 * Joins the fleet.
 *
 * @param context - The instance.
 * @param views - The views that are reported to peers and updated from them.
 * @param feeds - The age of what this instance has read from the store.
 * @param sources - State of the instance's other parts.
 * @returns The fleet.
 */
export function assembleFleet(
    context: InstanceContext,
    views: InstanceViews,
    feeds: Feeds,
    sources: FleetSources,
): Fleet {
    const { settings, clock, random, writeLog } = context;
    const heartbeatAddress = `${settings.host}:${settings.heartbeatPort}`;
    const startedAtMs = clock.wallNow();
    const view = createFleetView({ self: { name: settings.instance, startedAtMs, heartbeatAddress }, random });
    const loadingView = createLoadingView(views.weights.setLoading);
    view.addContacts(settings.contacts);
    const stateReader = createPeerStateReader();
    const peerStates = assemblePeerState(context, views, {
        feeds,
        plan: sources.plan,
        listLive: () => view.listLive(clock.now()),
        read: stateReader.read,
        checkPause: sources.checkPause,
    });

    function self(): FleetInstance {
        return {
            name: settings.instance,
            startedAtMs,
            failureDomain: settings.failureDomain,
            callerAddress: settings.callerAddress,
            peerAddress: settings.peerAddress,
            heartbeatAddress,
            state: sources.state(),
        };
    }

    const startedMs = clock.now();
    const discovery = discoverPeers(context, {
        heartbeatAddress,
        addContacts: view.addContacts,
        isAlone: () => view.listLive(clock.now()).length === 0,
    });
    const isSettled = () =>
        clock.now() - startedMs > settlingMs || (discovery.isDone() && view.countAddresses() <= maxDirectPeers);

    const { composeOwn, compose } = createHeartbeatComposer({
        clock,
        view,
        views,
        sources,
        self,
        upstreamsAgeMs: peerStates.upstreamsAgeMs,
    });

    function applyUses(peer: string, uses: Heartbeat["uses"]): void {
        if (view.isDirect()) {
            views.use.updatePeer(peer, uses);
        }
        else {
            views.use.removePeer(peer);
        }
    }

    /** Answers a peer that asks for descriptions, and asks one that mentions instances which are unknown here. */
    function exchangeDescriptions(heartbeat: Heartbeat): void {
        const address = heartbeat.from.heartbeatAddress;
        if (heartbeat.wanted !== undefined) {
            const known = view.describeInstances(heartbeat.wanted, clock.now());
            heartbeats.sendTo(address, { ...composeOwn(), known, isAnswer: true });
        }
        else if (heartbeat.isAnswer !== true) {
            const wanted = view.listUnknown(heartbeat);
            if (wanted.length > 0) {
                heartbeats.sendTo(address, { ...composeOwn(), wanted });
            }
        }
    }

    function applyHeartbeat(heartbeat: Heartbeat): void {
        const isNewest = view.applyHeartbeat(heartbeat, clock.now());
        exchangeDescriptions(heartbeat);
        if (!isNewest) {
            return;
        }
        const { from } = heartbeat;
        sources.quarantine.compareDigest(from.name, heartbeat.quarantine);
        sources.permits.compareDigest(from.name, heartbeat.signals);
        peerStates.recordPeer(heartbeat);
        applyUses(from.name, heartbeat.uses);
        if (heartbeat.loads !== undefined) {
            views.loadExchange.receive(heartbeat.loads, clock.now());
            views.notifyLoads();
        }
        heartbeat.stores?.forEach(answer => views.storeReach.record(answer, clock.now()));
        loadingView.applyHeartbeat(from.name, heartbeat.loading, clock.now());
        heartbeat.named.forEach(named => views.recordTarget(named, from.name));
        heartbeat.loaded.forEach(({ engine, model, version }) => views.weights.recordLoaded(engine, model, version));
        if (heartbeat.leaseOffset !== undefined) {
            const era = heartbeat.leaseEra ?? unknownEra;
            sources.recordLease({ instance: from.name, era, offset: heartbeat.leaseOffset });
        }
        if (heartbeat.leaseReleased !== undefined) {
            const { era, offset } = heartbeat.leaseReleased;
            sources.recordLease({ instance: from.name, era, offset });
            sources.recordLeaseRelease(heartbeat.leaseReleased);
        }
        if (heartbeat.leaseSeen !== undefined) {
            sources.recordLeaseKnowledge(heartbeat.leaseSeen);
        }
    }

    /** Removes what members reported that left. */
    const logMembers = createMemberLog(writeLog, name => {
        peerStates.removePeer(name);
        views.use.removePeer(name);
        loadingView.applyHeartbeat(name, [], clock.now());
    });

    function updateMembers(): void {
        loadingView.removeExpired(clock.now());
        sources.permits.update();
        sources.quotas.update();
        views.notifyFadingLoads(view.isDirect());
        logMembers(view.listLive(clock.now()).map(member => member.instance));
    }

    const heartbeats = startHeartbeats({
        clock,
        host: settings.host,
        port: settings.heartbeatPort,
        listeners: sources.listeners,
        nextIntervalMs: view.nextIntervalMs,
        compose,
        chooseTargets: () => view.chooseTargets(clock.now()),
        onHeartbeat: applyHeartbeat,
        onPrefillReport: ({ prefills }) => {
            prefills.filter(({ engine }) => views.registry.find(engine) !== undefined)
                .forEach(({ engine, salt, parts }) => views.parts.recordSent(parts, salt, engine, clock.now()));
        },
        onPeerMessage: (message, address) => {
            // After a pause nothing may be issued on what was known before it.
            sources.checkPause();
            messenger.receive(message, address);
        },
        onLoadingReport: report => loadingView.applyReport(report, clock.now()),
        onMalformed: detail => writeLog("recordRejected", { topic: "heartbeat", detail }),
    });
    const messenger = createPeerMessenger({
        listLive: () => view.listLive(clock.now()),
        transmit: heartbeats.sendReport,
        receivers: {
            quarantine: sources.quarantine.receive,
            permits: sources.permits.receive,
            quotas: sources.quotas.receive,
        },
        writeLog,
    });
    const loadingReporter = createLoadingReporter(clock, (loading, sequence) => {
        const addresses = view.listLive(clock.now()).map(member => member.instance.heartbeatAddress);
        heartbeats.sendReport(addresses, { loadingBy: settings.instance, sequence, startedAtMs, loading });
    });

    const prefillReporter = createPrefillReporter(clock, heartbeats.sendPrefillReport);

    const stopUpdating = repeatEvery(clock, updateIntervalMs, updateMembers);

    return {
        listLive: () => view.listLive(clock.now()),
        countInstances: () => view.countInstances(clock.now()),
        countAddresses: () => (discovery.isDone() ? view.countAddresses() : undefined),
        self,
        sendNow: heartbeats.sendNow,
        reportLoading: () => {
            heartbeats.sendNow();
            if (!view.isDirect()) {
                loadingReporter.report(sources.listLoading());
            }
        },
        reportPrefill: prefill => {
            if (view.isDirect()) {
                prefillReporter.add(prefill);
            }
        },
        sendMessage: messenger.send,
        timeoutMs: view.timeoutMs,
        isDirect: view.isDirect,
        isSettled,
        describeState: peerStates.describe,
        upstreamsAgeMs: peerStates.upstreamsAgeMs,
        operatorAgeMs: peerStates.operatorAgeMs,
        forgetAges: peerStates.forgetAges,
        stop: () => {
            discovery.stop();
            stopUpdating();
            peerStates.stop();
            stateReader.close();
            prefillReporter.stop();
            loadingReporter.stop();
            heartbeats.stop();
        },
    };
}
