/**
 * @module
 * The product's router in each simulated daemon, called in the same way as by the request core.
 */
import { applyHintDigest } from "../../src/core/cache/applyHintDigest.js";
import { createCacheView, type Holder } from "../../src/core/cache/createCacheView.js";
import { createEventBackoff } from "../../src/core/cache/createEventBackoff.js";
import { createHintDigest } from "../../src/core/cache/createHintDigest.js";
import { createHintExchange } from "../../src/core/cache/createHintExchange.js";
import type { Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { type CostRouter, createCostRouter } from "../../src/core/routing/createCostRouter.js";
import { createFrequencySketch } from "../../src/core/routing/createFrequencySketch.js";
import { createLoadView } from "../../src/core/routing/createLoadView.js";
import type { RouteRequest } from "../../src/core/routing/routeTypes.js";
import { type RoutingPreset, routingPresets } from "../../src/core/routing/routingPresets.js";
import type { Clock } from "../../src/core/time/clock.js";
import type { PolicyContext } from "./createBaseline.js";
import type { SimPolicy } from "./simTypes.js";

/** Variants of the cache and load views to compare. */
export interface ReedwardOptions {
    /** Whether cache events are read in addition to the feedback of answers. */
    readonly readsEvents: boolean;
    readonly sampleEvery: number;
    /** Interval at which daemons send each other hints of their placements, in milliseconds; undefined disables it. */
    readonly exchangeIntervalMs?: number | undefined;
    /** Largest payload of one exchange, in bytes. */
    readonly maxExchangeBytes?: number;
    /** Called with the payload size of each exchange. */
    readonly onExchange?: (bytes: number) => void;
    /** Whether routing reads the exact backlog of engines: shows the gain that a perfect load view would give. */
    readonly usesExactBacklog?: boolean;
    /** Whether routing reads the exact caches of engines: shows the gain that a perfect cache view would give. */
    readonly usesExactCaches?: boolean;
    /** Weights that differ from the preset's. */
    readonly weights?: Partial<RoutingPreset>;
}

const maxViewBytes = 1 << 20;
const maxDigestBytes = 1 << 17;

function findExactHolders(context: PolicyContext, blocks: readonly bigint[]): readonly Holder[] {
    return context.engines
        .map((engine, index) => ({
            upstream: context.engineIds[index]!,
            cachedBlocks: engine.countCachedBlocks(blocks),
            ageMs: 0,
        }))
        .filter(holder => holder.cachedBlocks > 0);
}

function createDaemon(
    upstreams: readonly Upstream[],
    context: PolicyContext,
    clock: Clock,
    options: ReedwardOptions,
    findPeers: (req: RouteRequest) => readonly string[],
) {
    const ownCache = createCacheView({ maxBytes: maxViewBytes, sampleEvery: options.sampleEvery });
    const ownLoad = createLoadView();
    const findEngine = (id: string) => context.engines[context.engineIds.indexOf(id)]!;
    const load = options.usesExactBacklog === true
        ? { ...ownLoad, predictWaitMs: (upstream: Upstream) => findEngine(upstream.id).backlogMs() }
        : ownLoad;
    const cache = options.usesExactCaches === true
        ? { ...ownCache, findHolders: (blocks: readonly bigint[]) => findExactHolders(context, blocks) }
        : ownCache;
    const exchange = createHintExchange({ maxBytes: options.maxExchangeBytes ?? 4096, maxPeers: 16 });
    const preset = { ...routingPresets[context.shape.preset], ...options.weights };
    const router: CostRouter = createCostRouter({
        listCandidates: () => upstreams,
        cache,
        load,
        frequencies: createFrequencySketch({ width: 4096, decayMs: 10_000 }),
        readSpread: () => ({
            instances: context.shape.daemons,
            instancesPerCustomer: context.shape.entriesPerCustomer,
        }),
        onPlaced: (req, upstream, blocks) => {
            const incarnation = ownCache.findIncarnation(upstream);
            if (options.exchangeIntervalMs !== undefined && incarnation !== undefined) {
                const peers = findPeers(req);
                exchange.enqueue(peers, { upstream, incarnation, blocks, atMs: clock.now() });
            }
        },
        preset: () => preset,
        now: clock.now,
        random: context.random,
    });
    return { cache, load, router, exchange, backoff: createEventBackoff() };
}

/** Creates the policy. */
export function createReedwardPolicy(context: PolicyContext, clock: Clock, options: ReedwardOptions): SimPolicy {
    const { shape } = context;
    const upstreams = context.engineIds.map((id, index): Upstream => ({
        kind: "upstream",
        id,
        owner: "operations",
        address: "127.0.0.1:1",
        failureDomain: `domain-${index % shape.failureDomains}`,
        role: "engine",
        serves: ["model"],
        fencesOrders: false,
        slots: shape.slots,
        prefillTokensPerSecond: shape.prefillTokensPerSecond,
        leaving: false,
    }));
    const indexById = new Map(upstreams.map((one, index) => [one.id, index]));
    // Entries of each customer, taken from its requests because the simulation has no membership.
    const entriesByCustomer = new Map<string, readonly number[]>();
    const create = (daemon: number) =>
        createDaemon(
            upstreams,
            context,
            clock,
            options,
            req => (entriesByCustomer.get(req.scope.customer) ?? []).filter(other => other !== daemon).map(String),
        );
    const daemons = Array.from({ length: shape.daemons }, (_, daemon) => create(daemon));

    function sendHintsToPeers(daemon: number, intervalMs: number): void {
        const { exchange } = daemons[daemon]!;
        for (const peer of exchange.listPeers()) {
            const payload = exchange.collect(peer, clock.now());
            if (payload !== undefined) {
                options.onExchange?.(payload.length);
                clock.after(shape.networkMs, () => applyHintDigest(daemons[Number(peer)]!.cache, payload, clock.now()));
            }
        }
        clock.after(intervalMs, () => sendHintsToPeers(daemon, intervalMs));
    }

    const { exchangeIntervalMs } = options;
    if (exchangeIntervalMs !== undefined) {
        daemons.forEach((_, daemon) =>
            clock.after(
                (exchangeIntervalMs * daemon) / shape.daemons,
                () => sendHintsToPeers(daemon, exchangeIntervalMs),
            )
        );
    }

    const policy: SimPolicy = {
        choose: (one, excluded) => {
            const { router, load } = daemons[one.daemon]!;
            entriesByCustomer.set(one.req.scope.customer, one.entries);
            const decision = router.chooseUpstream({ ...one.req, excluded });
            const id = decision.isOk ? decision.value.upstream.id : upstreams[0]!.id;
            load.recordInFlight(id, 1);
            return indexById.get(id)!;
        },
        onHead: (one, engine, head) =>
            daemons[one.daemon]!.router.reportFeedback({
                upstream: upstreams[engine]!.id,
                req: one.req,
                cachedBlocks: head.cachedBlocks,
                incarnation: head.incarnation,
                load: head.load,
            }),
        onEnd: (one, engine) => daemons[one.daemon]!.load.recordInFlight(upstreams[engine]!.id, -1),
        onReport: (daemon, engine, load) => {
            const { cache, load: view } = daemons[daemon]!;
            cache.recordIncarnation(upstreams[engine]!.id, load.incarnation);
            view.recordReport(upstreams[engine]!, load, clock.now());
        },
        restart: (daemon, survivor) => {
            const digest = createHintDigest(daemons[survivor]!.cache, clock.now(), maxDigestBytes);
            daemons[daemon] = create(daemon);
            applyHintDigest(daemons[daemon]!.cache, digest, clock.now());
        },
    };
    if (!options.readsEvents) {
        return policy;
    }
    return {
        ...policy,
        nextSequence: (daemon, engine) => {
            const { cache, backoff } = daemons[daemon]!;
            const { id } = upstreams[engine]!;
            return backoff.isDue(id, clock.now()) ? cache.nextSequence(id) : undefined;
        },
        onEvents: (daemon, engine, page) => {
            const { cache, backoff } = daemons[daemon]!;
            const { id } = upstreams[engine]!;
            backoff.recordRead(id, cache.applyEvents(id, page, clock.now()), clock.now());
        },
    };
}
