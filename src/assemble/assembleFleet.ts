/**
 * @module
 * Assembles the instance's part in the fleet: discovery, heartbeats, and the state that it fetches from a peer when it
 * cannot read the store itself.
 */
import { createFleetView, type FleetMember, heartbeatIntervalMs } from "../core/fleet/createFleetView.js";
import { createPrefillReporter } from "../core/fleet/createPrefillReporter.js";
import type { FleetInstance, Heartbeat } from "../core/fleet/heartbeat.js";
import type { PeerState } from "../core/fleet/peerState.js";
import type { Prefill } from "../core/fleet/prefillReport.js";
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import { repeatEvery } from "../core/time/repeatEvery.js";
import { type LeaseClaim, unknownEra } from "../core/weights/createRolloutLease.js";
import { fetchPeerState } from "../io/fleet/fetchPeerState.js";
import { startHeartbeats } from "../io/fleet/startHeartbeats.js";
import type { Feeds } from "./assembleFeeds.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** The fleet as seen by this instance. */
export interface Fleet {
    readonly listLive: () => readonly FleetMember[];
    readonly countInstances: () => number;
    readonly self: () => FleetInstance;
    /** Sends heartbeats without waiting for the next interval. */
    readonly sendNow: () => void;
    /** Reports to peers that an engine is about to prefill shared parts. */
    readonly reportPrefill: (prefill: Prefill) => void;
    /** Returns this instance's state for a peer that has configuration `knownVersion`. */
    readonly describeState: (knownVersion: number) => PeerState;
    /** Milliseconds since the list of upstreams was read, by this instance or by the peer that it was fetched from. */
    readonly upstreamsAgeMs: () => number;
    readonly stop: () => void;
}

/** State of the instance's other parts that heartbeats report, and where reported leases go. */
export interface FleetSources {
    readonly state: () => FleetInstance["state"];
    readonly listLoading: () => readonly string[];
    readonly heldLease: () => LeaseClaim | undefined;
    readonly recordLease: (claim: LeaseClaim) => void;
}

/** Age of the list of upstreams beyond which a peer's list is fetched, in milliseconds. */
const staleMs = 1_200;

/** Interval of the check whether a peer has newer state, in milliseconds. */
const pollIntervalMs = 300;

/** Interval between reads of the instances' topic after the start, in milliseconds. */
const discoveryIntervalMs = 1_000;

/** Number of reads of the instances' topic after the start. */
const discoveryReads = 4;

/** Maximum age that is reported, in milliseconds: the age when the store was never read is infinite. */
const maxAgeMs = 3_600_000;

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
    const { settings, clock, random, writeLog, ports } = context;
    const heartbeatAddress = `${settings.host}:${settings.heartbeatPort}`;
    const startedAtMs = clock.wallNow();
    const view = createFleetView({ self: settings.instance, selfHeartbeatAddress: heartbeatAddress, random });
    const loggedStates = new Map<string, string>();
    const peerVersions = new Map<string, { readonly tableVersion: number; readonly storeAgeMs: number; }>();
    let fetchedAsOfMs = -Infinity;
    let isFetching = false;
    /** Whether this instance's heartbeat address lies in the store. */
    let isRegistered = false;
    view.addContacts(settings.contacts);

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

    const upstreamsAgeMs = () => Math.min(feeds.upstreamsAgeMs(), clock.now() - fetchedAsOfMs);
    const tableVersion = () => views.routes()?.table.version ?? 0;

    function listLoaded(): Heartbeat["loaded"] {
        return views.weights.listTargets().flatMap(({ model, version }) =>
            views.registry.list()
                .filter(record => views.weights.findVersion(record, model) === version)
                .map(record => ({ engine: record.id, model, version }))
        );
    }

    function compose(): Heartbeat {
        const lease = sources.heldLease();
        return {
            from: self(),
            tableVersion: tableVersion(),
            storeAgeMs: Math.min(maxAgeMs, Math.round(feeds.upstreamsAgeMs())),
            named: views.describeTargets(),
            uses: views.use.listOwn(),
            loading: sources.listLoading(),
            loaded: sources.listLoading().length > 0 ? listLoaded() : [],
            leaseOffset: lease?.offset,
            leaseEra: lease?.era,
            known: view.chooseKnown(clock.now()),
        };
    }

    function applyHeartbeat(heartbeat: Heartbeat): void {
        if (!view.applyHeartbeat(heartbeat, clock.now())) {
            return;
        }
        const { from } = heartbeat;
        peerVersions.set(from.name, { tableVersion: heartbeat.tableVersion, storeAgeMs: heartbeat.storeAgeMs });
        views.use.updatePeer(from.name, heartbeat.uses);
        views.weights.setLoading(from.name, heartbeat.loading);
        heartbeat.named.forEach(named => views.recordTarget(named, from.name));
        heartbeat.loaded.forEach(({ engine, model, version }) => views.weights.recordLoaded(engine, model, version));
        if (heartbeat.leaseOffset !== undefined) {
            const era = heartbeat.leaseEra ?? unknownEra;
            sources.recordLease({ instance: from.name, era, offset: heartbeat.leaseOffset });
        }
    }

    /** Logs members that joined, changed or left, and removes the reports of those that left. */
    function updateMembers(): void {
        const live = view.listLive(clock.now());
        const liveNames = new Set(live.map(member => member.instance.name));
        for (const { instance } of live) {
            const state = `${instance.state} ${instance.startedAtMs}`;
            if (loggedStates.get(instance.name) !== state) {
                loggedStates.set(instance.name, state);
                writeLog("memberChanged", { member: instance.name, state: instance.state });
            }
        }
        for (const name of loggedStates.keys()) {
            if (!liveNames.has(name)) {
                loggedStates.delete(name);
                peerVersions.delete(name);
                views.use.removePeer(name);
                views.weights.setLoading(name, []);
                writeLog("memberChanged", { member: name, state: "gone" });
            }
        }
    }

    function needsPeerState(): boolean {
        return tableVersion() === 0 || upstreamsAgeMs() > staleMs
            || [...peerVersions.values()].some(peer => peer.tableVersion > tableVersion());
    }

    /** Returns the live peer with the newest configuration and, among equals, the most recent list of upstreams. */
    function chooseStateSource(): FleetMember | undefined {
        const findVersions = (member: FleetMember) => peerVersions.get(member.instance.name);
        return view.listLive(clock.now()).filter(member => findVersions(member) !== undefined).toSorted(
            (left, right) => {
                const [one, other] = [findVersions(left)!, findVersions(right)!];
                return other.tableVersion - one.tableVersion || one.storeAgeMs - other.storeAgeMs;
            },
        )[0];
    }

    async function fetchFromPeer(): Promise<void> {
        const peer = chooseStateSource();
        if (peer === undefined) {
            return;
        }
        const requestedMs = clock.now();
        const state = await fetchPeerState(peer.instance.peerAddress, tableVersion());
        if (state === undefined) {
            return;
        }
        const source = peer.instance.name;
        if (state.table !== undefined) {
            views.applyTable(state.table as Parameters<typeof views.applyTable>[0], source);
        }
        state.named.forEach(named => views.recordTarget(named, source));
        const asOfMs = requestedMs - state.upstreamsAgeMs;
        if (clock.now() - asOfMs < upstreamsAgeMs()) {
            fetchedAsOfMs = asOfMs;
            views.registry.applyPeerList(state.upstreams, clock.now());
            views.notifyChange();
        }
        writeLog("peerStateTaken", {
            peer: source,
            tableVersion: tableVersion(),
            upstreams: state.upstreams.length,
            upstreamsAgeMs: Math.round(state.upstreamsAgeMs),
        });
    }

    function poll(): void {
        updateMembers();
        if (needsPeerState() && !isFetching) {
            isFetching = true;
            fetchFromPeer().finally(() => {
                isFetching = false;
            }).catch((error: unknown) => logInternalFailure(writeLog, error));
        }
    }

    const heartbeats = startHeartbeats({
        clock,
        host: settings.host,
        port: settings.heartbeatPort,
        intervalMs: heartbeatIntervalMs,
        compose,
        chooseTargets: () => view.chooseTargets(clock.now()),
        onHeartbeat: applyHeartbeat,
        onPrefillReport: ({ prefills }) => {
            prefills.filter(({ engine }) => views.registry.find(engine) !== undefined)
                .forEach(({ engine, salt, parts }) => views.parts.recordSent(parts, salt, engine, clock.now()));
        },
        onMalformed: detail => writeLog("recordRejected", { topic: "heartbeat", detail }),
    });

    const prefillReporter = createPrefillReporter(clock, heartbeats.sendPrefillReport);

    let isStopped = false;
    const stopPolling = repeatEvery(clock, pollIntervalMs, poll);

    /** Registers this instance's heartbeat address in the store and reads the addresses of the others. */
    async function discoverPeers(attempt: number): Promise<void> {
        if (!isRegistered) {
            const { topics, store } = ports;
            const put = await store.putKeyed(topics.instances, settings.instance, Buffer.from(heartbeatAddress));
            isRegistered = put.kind === "appended";
        }
        const read = await ports.store.readNewest(ports.topics.instances);
        if (read.kind === "newest") {
            view.addContacts(
                read.records.flatMap(
                    record => (record.value === undefined ? [] : [Buffer.from(record.value).toString()]),
                ),
            );
        }
        if (attempt + 1 < discoveryReads && !isStopped) {
            clock.after(discoveryIntervalMs, () => void discoverPeers(attempt + 1));
        }
    }
    void discoverPeers(0);

    // The addresses that were registered since the copy are gone.
    ports.storeEra.subscribe(event => {
        if (event.kind === "returned") {
            isRegistered = false;
            clock.after(random() * discoveryIntervalMs, () => void discoverPeers(0));
        }
    });

    return {
        listLive: () => view.listLive(clock.now()),
        countInstances: () => view.countInstances(clock.now()),
        self,
        sendNow: heartbeats.sendNow,
        reportPrefill: prefillReporter.add,
        describeState: knownVersion => ({
            table: tableVersion() > knownVersion ? views.routes()?.table as PeerState["table"] : undefined,
            upstreams: views.registry.list() as PeerState["upstreams"],
            upstreamsAgeMs: Math.min(maxAgeMs, upstreamsAgeMs()),
            named: [...views.describeTargets()],
        }),
        upstreamsAgeMs,
        stop: () => {
            isStopped = true;
            stopPolling();
            prefillReporter.stop();
            heartbeats.stop();
        },
    };
}
