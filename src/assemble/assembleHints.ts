/**
 * @module
 * Assembles what the instance knows of the engines' caches and loads: reports and cache events of engines, and hints that
 * instances share about their sends.
 */
import { memoizeByVersion } from "../core/_lib/memoizeByVersion.js";
import { applyHintDigest } from "../core/cache/applyHintDigest.js";
import { type CacheView, createCacheView } from "../core/cache/createCacheView.js";
import { createEventBackoff } from "../core/cache/createEventBackoff.js";
import { createHintDigest } from "../core/cache/createHintDigest.js";
import { createHintExchange } from "../core/cache/createHintExchange.js";
import { findHintPeers } from "../core/cache/findHintPeers.js";
import { type Catalogue, findEntry } from "../core/catalogue/catalogue.js";
import type { Upstream } from "../core/catalogue/catalogueEntry.js";
import type { RestartStateProvider } from "../core/lifecycle/restartState.js";
import type { MembershipView } from "../core/membership/memberTypes.js";
import type { EnginePort } from "../core/ports/enginePort.js";
import type { CostRouterDependencies } from "../core/routing/createCostRouter.js";
import { createLoadView, type LoadView } from "../core/routing/createLoadView.js";
import type { Clock } from "../core/time/clock.js";
import { pollEngines } from "../io/cache/pollEngines.js";
import { shareHints } from "../io/cache/shareHints.js";
import type { Metrics } from "../io/metrics/createMetrics.js";
import type { PeerClients } from "../io/peers/createPeerClient.js";
import type { Settings } from "../settings/settingsTable.js";

/** What the hints need from the instance. */
export interface HintsContext {
    readonly settings: Pick<Settings, "hintMemoryBytes" | "eventBytesPerSecond">;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly catalogue: () => Catalogue;
    readonly membership: () => MembershipView;
    /** The members as routing reads them for every request; at most a second old. */
    readonly recentMembership: () => MembershipView;
    readonly engines: Pick<EnginePort, "readLoad" | "readCacheEvents">;
    readonly peers: PeerClients;
}

/** The hints of an instance. */
export interface Hints {
    readonly cacheView: CacheView;
    readonly loadView: LoadView;
    /** Records that an upstream is about to cache blocks, and reports them to the peers of the customer. */
    readonly recordPlaced: CostRouterDependencies["onPlaced"];
    /** Applies a peer's hints. */
    readonly applyPayload: (payload: string) => void;
    /** The state that a restarted instance fetches from a peer. */
    readonly restartState: RestartStateProvider;
    readonly start: () => void;
    readonly stop: () => void;
}

/** Maximum size of the digest of hints for a restarted peer, in bytes. */
const hintDigestBytes = 1 << 17;

/** Maximum size of a payload of hints for one peer, in bytes. */
const hintPayloadBytes = 1 << 12;

/** Maximum number of peers that receive hints about this instance's sends. */
const maxHintPeers = 32;

/** Time for which an engine is polled after its last request, in milliseconds. */
const pollWindowMs = 60_000;

/**
 * Assembles the hints.
 *
 * @param context - The instance.
 * @returns The hints; nothing is read or sent before `start`.
 */
export function assembleHints(context: HintsContext): Hints {
    const { settings, clock, metrics, catalogue, membership, recentMembership, engines, peers } = context;
    const cacheView = createCacheView({
        maxBytes: settings.hintMemoryBytes,
        sampleEvery: 1,
        onInvalidate: (_, reason) => metrics.invalidatedHints.inc({ reason }),
    });
    const loadView = createLoadView();
    const exchange = createHintExchange({ maxBytes: hintPayloadBytes, maxPeers: maxHintPeers });
    const findPeers = memoizeByVersion(recentMembership, customer => findHintPeers(recentMembership(), customer));
    const lastUsedMs = new Map<string, number>();
    let stopPolling: () => void = () => undefined;
    let stopSharing: () => void = () => undefined;

    /** Lists recently used engines, and drops the state of engines that are unused or gone from the catalogue. */
    function listUsed(): readonly Upstream[] {
        const used: Upstream[] = [];
        for (const [id, atMs] of lastUsedMs) {
            const upstream = findEntry(catalogue(), "upstream", id);
            if (upstream === undefined) {
                cacheView.remove(id);
                loadView.remove(id);
            }
            if (upstream === undefined || clock.now() - atMs > pollWindowMs) {
                lastUsedMs.delete(id);
                continue;
            }
            used.push(upstream);
        }
        return used;
    }

    const recordPlaced: Hints["recordPlaced"] = (req, upstream, blocks) => {
        lastUsedMs.set(upstream, clock.now());
        const incarnation = cacheView.findIncarnation(upstream);
        if (incarnation !== undefined) {
            exchange.enqueue(findPeers(req.scope.customer), { upstream, incarnation, blocks, atMs: clock.now() });
        }
    };

    const applyPayload = (payload: string) => applyHintDigest(cacheView, payload, clock.now());

    async function send(instance: string, payload: string): Promise<void> {
        const peer = membership().members.find(member => member.instance === instance);
        if (peer !== undefined) {
            await peers.connect(peer.peerAddress).peer.noteHints.mutate({ payload });
        }
    }

    function start(): void {
        stopPolling = pollEngines({
            clock,
            engines,
            listUsed,
            cache: cacheView,
            backoff: createEventBackoff(),
            onLoad: (upstream, load) => {
                cacheView.recordIncarnation(upstream.id, load.incarnation);
                cacheView.recordWeightsVersion(upstream.id, load.weightsVersion);
                loadView.recordReport(upstream, load, clock.now());
            },
            eventBytesPerSecond: settings.eventBytesPerSecond,
        });
        stopSharing = shareHints({ clock, exchange, send, onSent: bytes => metrics.hintBytesSent.inc(bytes) });
    }

    return {
        cacheView,
        loadView,
        recordPlaced,
        applyPayload,
        restartState: {
            name: "hints",
            collect: () => createHintDigest(cacheView, clock.now(), hintDigestBytes),
            apply: applyPayload,
        },
        start,
        stop: () => {
            stopPolling();
            stopSharing();
        },
    };
}
