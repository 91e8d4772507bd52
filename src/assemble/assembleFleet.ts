/**
 * @module
 * Assembles how instances find each other, what they tell each other, and what one takes from another that reads the
 * store when it cannot.
 */
import { createFleetView, type FleetMember, heartbeatIntervalMs } from "../core/fleet/createFleetView.js";
import type { FleetInstance, Heartbeat } from "../core/fleet/heartbeat.js";
import type { PeerState } from "../core/fleet/peerState.js";
import { repeatEvery } from "../core/time/repeatEvery.js";
import { fetchPeerState } from "../io/fleet/fetchPeerState.js";
import { startHeartbeats } from "../io/fleet/startHeartbeats.js";
import type { Feeds } from "./assembleFeeds.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** The fleet as this instance takes part in it. */
export interface Fleet {
    readonly listLive: () => readonly FleetMember[];
    readonly countInstances: () => number;
    readonly self: () => FleetInstance;
    /** Tells peers now. */
    readonly sendNow: () => void;
    /** This instance's state for a peer that has the configuration `knownVersion`. */
    readonly describeState: (knownVersion: number) => PeerState;
    /** Milliseconds since the list of upstreams was read by this instance or by the peer that it took it from. */
    readonly upstreamsAgeMs: () => number;
    readonly stop: () => void;
}

/** What the fleet tells of the instance's other parts. */
export interface FleetSources {
    readonly state: () => FleetInstance["state"];
    readonly listLoading: () => readonly string[];
    readonly leaseOffset: () => number | undefined;
    readonly recordLease: (instance: string, offset: number) => void;
}

/** Age of the own list of upstreams from which a peer's is taken, in milliseconds. */
const staleMs = 1_200;

/** Interval at which it is looked whether a peer knows more, in milliseconds. */
const lookMs = 300;

/** Interval at which the instances' own topic is read until somebody is known, in milliseconds. */
const findIntervalMs = 1_000;

/** Times that the instances' own topic is read after the start. */
const findCount = 4;

/** Largest age that a heartbeat states, in milliseconds, for a store that was never read. */
const maxAgeMs = 3_600_000;

/**
 * Joins the fleet.
 *
 * @param context - The instance.
 * @param views - What is told and taken.
 * @param feeds - How fresh the own reading is.
 * @param sources - The instance's other parts.
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
    const known = new Map<string, string>();
    const peerVersions = new Map<string, { readonly tableVersion: number; readonly storeAgeMs: number; }>();
    let takenAsOfMs = -Infinity;
    let isFetching = false;
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

    const upstreamsAgeMs = () => Math.min(feeds.upstreamsAgeMs(), clock.now() - takenAsOfMs);
    const tableVersion = () => views.routes()?.table.version ?? 0;

    function listLoaded(): Heartbeat["loaded"] {
        return views.weights.listTargets().flatMap(({ model, version }) =>
            views.registry.list()
                .filter(record => views.weights.findVersion(record, model) === version)
                .map(record => ({ engine: record.id, model, version }))
        );
    }

    function compose(): Heartbeat {
        return {
            from: self(),
            tableVersion: tableVersion(),
            storeAgeMs: Math.min(maxAgeMs, Math.round(feeds.upstreamsAgeMs())),
            named: views.describeTargets(),
            uses: views.use.listOwn(),
            loading: sources.listLoading(),
            loaded: sources.listLoading().length > 0 ? listLoaded() : [],
            leaseOffset: sources.leaseOffset(),
            known: view.chooseKnown(clock.now()),
        };
    }

    function takeHeartbeat(heartbeat: Heartbeat): void {
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
            sources.recordLease(from.name, heartbeat.leaseOffset);
        }
    }

    /** Logs who came, changed or went, and forgets what those that went had told. */
    function noteMembers(): void {
        const live = view.listLive(clock.now());
        const present = new Set(live.map(member => member.instance.name));
        for (const { instance } of live) {
            const state = `${instance.state} ${instance.startedAtMs}`;
            if (known.get(instance.name) !== state) {
                known.set(instance.name, state);
                writeLog("memberChanged", { member: instance.name, state: instance.state });
            }
        }
        for (const name of known.keys()) {
            if (!present.has(name)) {
                known.delete(name);
                peerVersions.delete(name);
                views.use.removePeer(name);
                views.weights.setLoading(name, []);
                writeLog("memberChanged", { member: name, state: "gone" });
            }
        }
    }

    function needsPeer(): boolean {
        return tableVersion() === 0 || upstreamsAgeMs() > staleMs
            || [...peerVersions.values()].some(peer => peer.tableVersion > tableVersion());
    }

    /** The live peer that knows most: the newest configuration, then the freshest list. */
    function choosePeer(): FleetMember | undefined {
        const rank = (member: FleetMember) => peerVersions.get(member.instance.name);
        return view.listLive(clock.now()).filter(member => rank(member) !== undefined).toSorted((left, right) => {
            const [one, other] = [rank(left)!, rank(right)!];
            return other.tableVersion - one.tableVersion || one.storeAgeMs - other.storeAgeMs;
        })[0];
    }

    async function takeFromPeer(): Promise<void> {
        const peer = choosePeer();
        if (peer === undefined) {
            return;
        }
        const askedMs = clock.now();
        const state = await fetchPeerState(peer.instance.peerAddress, tableVersion());
        if (state === undefined) {
            return;
        }
        const source = peer.instance.name;
        if (state.table !== undefined) {
            views.applyTable(state.table as Parameters<typeof views.applyTable>[0], source);
        }
        state.named.forEach(named => views.recordTarget(named, source));
        const asOfMs = askedMs - state.upstreamsAgeMs;
        if (clock.now() - asOfMs < upstreamsAgeMs()) {
            takenAsOfMs = asOfMs;
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

    function look(): void {
        noteMembers();
        if (needsPeer() && !isFetching) {
            isFetching = true;
            takeFromPeer().finally(() => {
                isFetching = false;
            }).catch((error: unknown) => writeLog("internalFailure", { detail: String(error) }));
        }
    }

    const heartbeats = startHeartbeats({
        clock,
        host: settings.host,
        port: settings.heartbeatPort,
        intervalMs: heartbeatIntervalMs,
        compose,
        chooseTargets: () => view.chooseTargets(clock.now()),
        onHeartbeat: takeHeartbeat,
        onMalformed: detail => writeLog("recordRejected", { topic: "heartbeat", detail }),
    });

    let isStopped = false;
    const stopLooking = repeatEvery(clock, lookMs, look);

    /** Tells the store where this instance is, and reads there where others are. */
    async function findOthers(turn: number): Promise<void> {
        if (turn === 0) {
            const { topics, store } = ports;
            await store.putKeyed(topics.instances, settings.instance, Buffer.from(heartbeatAddress));
        }
        const read = await ports.store.readNewest(ports.topics.instances);
        if (read.kind === "newest") {
            view.addContacts(
                read.records.flatMap(
                    record => (record.value === undefined ? [] : [Buffer.from(record.value).toString()]),
                ),
            );
        }
        if (turn + 1 < findCount && !isStopped) {
            clock.after(findIntervalMs, () => void findOthers(turn + 1));
        }
    }
    void findOthers(0);

    return {
        listLive: () => view.listLive(clock.now()),
        countInstances: () => view.countInstances(clock.now()),
        self,
        sendNow: heartbeats.sendNow,
        describeState: knownVersion => ({
            table: tableVersion() > knownVersion ? views.routes()?.table as PeerState["table"] : undefined,
            upstreams: views.registry.list() as PeerState["upstreams"],
            upstreamsAgeMs: Math.min(maxAgeMs, upstreamsAgeMs()),
            named: [...views.describeTargets()],
        }),
        upstreamsAgeMs,
        stop: () => {
            isStopped = true;
            stopLooking();
            heartbeats.stop();
        },
    };
}
