/**
 * @module
 * Assembles the exchange of state between instances: what a peer is told, and the copies that this instance takes from
 * peers when it is no reader of the store, cannot read it, or hears of a newer configuration.
 */
import type { FleetMember } from "../core/fleet/createFleetView.js";
import type { Heartbeat } from "../core/fleet/heartbeat.js";
import type { PeerState } from "../core/fleet/peerState.js";
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import type { StoreReadPlan } from "../core/store/planStoreReads.js";
import { repeatEvery } from "../core/time/repeatEvery.js";
import type { KnownState } from "../io/fleet/createPeerStateReader.js";
import type { Feeds } from "./assembleFeeds.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** The exchange of state. */
export interface PeerStates {
    /** Returns this instance's state for a peer; what the peer has already is left out. */
    readonly describe: (known: KnownState) => PeerState;
    /** Milliseconds since the list of upstreams was read, by this instance or by the peer that it was copied from. */
    readonly upstreamsAgeMs: () => number;
    /** The same of the operator's records. */
    readonly operatorAgeMs: () => number;
    /** Records how new the state of a peer is that has sent a heartbeat. */
    readonly recordPeer: (heartbeat: Heartbeat) => void;
    readonly removePeer: (name: string) => void;
    /** Forgets how new the copies are, after a pause of the process. */
    readonly forgetAges: () => void;
    readonly stop: () => void;
}

/** Dependencies of {@link assemblePeerState}. */
export interface PeerStateDependencies {
    readonly feeds: Feeds;
    readonly plan: () => StoreReadPlan;
    readonly listLive: () => readonly FleetMember[];
    /** Reads the state of the peer at an "ip:port"; undefined when it did not answer with a valid one. */
    readonly read: (address: string, known: KnownState) => Promise<PeerState | undefined>;
    /** Detects a pause of the process; ages from before one are not to be relied on. */
    readonly checkPause: () => void;
}

/** How new a peer's state was. */
interface PeerVersion {
    readonly tableVersion: number;
    /** Time at which its list of upstreams was read, on this instance's clock. */
    readonly asOfMs: number;
}

/** Interval of the check whether a state has to be copied, in milliseconds. */
const pollIntervalMs = 150;

/** Shortest time between two copies, as a fraction of the age at which a state is copied. */
const minCopyFraction = 0.3;

/** Time for which a peer is passed over after it did not answer, in milliseconds. */
const passOverMs = 2_000;

/** Maximum age that is reported, in milliseconds: the age when the store was never read is infinite. */
const maxAgeMs = 3_600_000;

/**
 * Assembles the exchange.
 *
 * @param context - The instance.
 * @param views - The views that are described and updated.
 * @param deps - The other parts that it uses.
 * @returns The exchange.
 */
export function assemblePeerState(
    context: InstanceContext,
    views: InstanceViews,
    deps: PeerStateDependencies,
): PeerStates {
    const { clock, writeLog, metrics, ports } = context;
    const { feeds } = deps;
    const peerVersions = new Map<string, PeerVersion>();
    const passedOverUntilMs = new Map<string, number>();
    let upstreamsAsOfMs = -Infinity;
    let operatorAsOfMs = -Infinity;
    let isCopying = false;
    let copiedMs = -Infinity;
    /** Number of times that the ages were forgotten. */
    let forgotten = 0;

    const upstreamsAgeMs = () => Math.min(feeds.upstreamsAgeMs(), clock.now() - upstreamsAsOfMs);
    const operatorAgeMs = () => Math.min(feeds.operatorAgeMs(), clock.now() - operatorAsOfMs);
    const tableVersion = () => views.routes()?.table.version ?? 0;

    function knowsNewerTable(): boolean {
        return [...peerVersions.values()].some(peer => peer.tableVersion > tableVersion());
    }

    function needsCopy(): boolean {
        const { copyAgeMs, isReader } = deps.plan();
        const isOperatorOld = !isReader && operatorAgeMs() > copyAgeMs;
        return tableVersion() === 0 || upstreamsAgeMs() > copyAgeMs || isOperatorOld || knowsNewerTable();
    }

    /** Compares peers: newer configurations first, then readers, then by age. */
    function compareSources(readers: readonly string[], left: FleetMember, right: FleetMember): number {
        const [one, other] = [left.instance.name, right.instance.name];
        const [known, otherKnown] = [peerVersions.get(one), peerVersions.get(other)];
        const newest = Math.max(tableVersion(), 0);
        const newer = Math.max(otherKnown?.tableVersion ?? 0, newest) - Math.max(known?.tableVersion ?? 0, newest);
        const rank = (name: string) => (readers.includes(name) ? readers.indexOf(name) : readers.length);
        return newer || rank(one) - rank(other) || (otherKnown?.asOfMs ?? 0) - (known?.asOfMs ?? 0);
    }

    function chooseSource(): FleetMember | undefined {
        const { readers } = deps.plan();
        const nowMs = clock.now();
        return deps.listLive()
            .filter(({ instance }) => peerVersions.has(instance.name) || readers.includes(instance.name))
            .filter(({ instance }) => nowMs >= (passedOverUntilMs.get(instance.name) ?? -Infinity))
            .toSorted((left, right) => compareSources(readers, left, right))[0];
    }

    function applyUpstreams(upstreams: PeerState["upstreams"], asOfMs: number): void {
        if (asOfMs <= clock.now() - upstreamsAgeMs()) {
            return;
        }
        upstreamsAsOfMs = asOfMs;
        if (upstreams !== undefined) {
            views.registry.applyPeerList(upstreams, clock.now());
            views.notifyChange();
        }
    }

    /** Era 0 is that of a store which states none, and of a peer that has not read it yet. */
    function isOfCurrentEra(era: number): boolean {
        return era === 0 ? ports.storeEra.current() === 0 : ports.storeEra.accept(era).isOk;
    }

    function apply(state: PeerState, source: string, requestedMs: number): void {
        if (state.table !== undefined) {
            views.applyTable(state.table as Parameters<typeof views.applyTable>[0], source);
        }
        state.named.forEach(named => views.recordTarget(named, source));
        // What was read in an era that is over describes a state of the store that is gone.
        if (!isOfCurrentEra(state.storeEra)) {
            return;
        }
        operatorAsOfMs = Math.max(operatorAsOfMs, requestedMs - state.operatorAgeMs);
        views.recordTargetsKnown(operatorAsOfMs);
        applyUpstreams(state.upstreams, requestedMs - state.upstreamsAgeMs);
    }

    async function copyFromPeer(): Promise<void> {
        const peer = chooseSource();
        if (peer === undefined) {
            return;
        }
        const { name, peerAddress } = peer.instance;
        const known: KnownState = { tableVersion: tableVersion(), upstreamsDigest: views.registry.digest() };
        deps.checkPause();
        const requestedMs = clock.now();
        const forgottenBefore = forgotten;
        const state = await deps.read(peerAddress, known);
        deps.checkPause();
        // The clock may not have counted a pause in between, and the answer would look newer than it is.
        if (forgotten !== forgottenBefore) {
            return;
        }
        metrics.peerCopies.inc({ result: state === undefined ? "failed" : "copied" });
        if (state === undefined) {
            passedOverUntilMs.set(name, clock.now() + passOverMs);
            writeLog("peerStateFailed", { peer: name });
            return;
        }
        const hasNews = state.table !== undefined || state.upstreams !== undefined;
        peerVersions.delete(name);
        apply(state, name, requestedMs);
        if (hasNews) {
            writeLog("peerStateTaken", {
                peer: name,
                tableVersion: tableVersion(),
                upstreams: state.upstreams?.length,
                upstreamsAgeMs: Math.round(state.upstreamsAgeMs),
                operatorAgeMs: Math.round(state.operatorAgeMs),
            });
        }
    }

    /** While peers have nothing newer either, they are not asked at every check. */
    function isTooEarly(): boolean {
        return clock.now() - copiedMs < deps.plan().copyAgeMs * minCopyFraction && !knowsNewerTable();
    }

    function poll(): void {
        if (isCopying || !needsCopy() || isTooEarly()) {
            return;
        }
        isCopying = true;
        copiedMs = clock.now();
        copyFromPeer().finally(() => {
            isCopying = false;
        }).catch((error: unknown) => logInternalFailure(writeLog, error));
    }

    const stopPolling = repeatEvery(clock, pollIntervalMs, poll);
    return {
        describe: known => {
            deps.checkPause();
            return {
                table: tableVersion() > known.tableVersion ? views.routes()?.table as PeerState["table"] : undefined,
                upstreams: views.registry.digest() === known.upstreamsDigest
                    ? undefined
                    : views.registry.list() as PeerState["upstreams"],
                upstreamsAgeMs: Math.min(maxAgeMs, upstreamsAgeMs()),
                operatorAgeMs: Math.min(maxAgeMs, operatorAgeMs()),
                storeEra: ports.storeEra.current(),
                named: [...views.describeTargets()],
            };
        },
        upstreamsAgeMs,
        operatorAgeMs,
        recordPeer: ({ from, tableVersion: version, storeAgeMs }) => {
            peerVersions.set(from.name, { tableVersion: version, asOfMs: clock.now() - storeAgeMs });
        },
        removePeer: name => {
            peerVersions.delete(name);
            passedOverUntilMs.delete(name);
        },
        forgetAges: () => {
            forgotten += 1;
            upstreamsAsOfMs = -Infinity;
            operatorAsOfMs = -Infinity;
        },
        stop: stopPolling,
    };
}
