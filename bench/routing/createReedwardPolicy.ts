/**
 * @module
 * The product's router in each simulated daemon, driven as the request core drives it.
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

/** Ways of the cache view that are compared. */
export interface ReedwardOptions {
    /** Whether cache events are read beside the feedback of answers. */
    readonly readsEvents: boolean;
    readonly sampleEvery: number;
    /** Period at which daemons tell each other their sends, in milliseconds; undefined: never. */
    readonly exchangeMs?: number | undefined;
    /** Largest payload of one exchange, in bytes. */
    readonly exchangeBytes?: number;
    /** Told the bytes of each exchange. */
    readonly onExchange?: (bytes: number) => void;
    /** Whether the exact backlog of engines is known, to tell what better load knowledge would be worth. */
    readonly knowsBacklog?: boolean;
    /** Whether exact caches are known, to tell what a better cache view would be worth. */
    readonly knowsCaches?: boolean;
    /** Weights that differ from the preset's. */
    readonly weights?: Partial<RoutingPreset>;
}

const viewBytes = 1 << 20;
const digestBytes = 1 << 17;

function findTrueHolders(context: PolicyContext, blocks: readonly bigint[]): readonly Holder[] {
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
    const ownCache = createCacheView({ maxBytes: viewBytes, sampleEvery: options.sampleEvery });
    const ownLoad = createLoadView();
    const engineOf = (id: string) => context.engines[context.engineIds.indexOf(id)]!;
    const load = options.knowsBacklog === true
        ? { ...ownLoad, predictWaitMs: (upstream: Upstream) => engineOf(upstream.id).backlogMs() }
        : ownLoad;
    const cache = options.knowsCaches === true
        ? { ...ownCache, findHolders: (blocks: readonly bigint[]) => findTrueHolders(context, blocks) }
        : ownCache;
    const exchange = createHintExchange({ maxBytes: options.exchangeBytes ?? 4096, maxPeers: 16 });
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
            if (options.exchangeMs !== undefined && incarnation !== undefined) {
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
    const indexOf = new Map(upstreams.map((one, index) => [one.id, index]));
    // Entries of a customer, learned from its requests: the simulation has no membership.
    const entriesOf = new Map<string, readonly number[]>();
    const create = (daemon: number) =>
        createDaemon(
            upstreams,
            context,
            clock,
            options,
            req => (entriesOf.get(req.scope.customer) ?? []).filter(other => other !== daemon).map(String),
        );
    const daemons = Array.from({ length: shape.daemons }, (_, daemon) => create(daemon));

    function tellPeers(daemon: number, periodMs: number): void {
        const { exchange } = daemons[daemon]!;
        for (const peer of exchange.listPeers()) {
            const payload = exchange.collect(peer, clock.now());
            if (payload !== undefined) {
                options.onExchange?.(payload.length);
                clock.after(shape.networkMs, () => applyHintDigest(daemons[Number(peer)]!.cache, payload, clock.now()));
            }
        }
        clock.after(periodMs, () => tellPeers(daemon, periodMs));
    }

    const { exchangeMs } = options;
    if (exchangeMs !== undefined) {
        daemons.forEach((_, daemon) =>
            clock.after((exchangeMs * daemon) / shape.daemons, () => tellPeers(daemon, exchangeMs))
        );
    }

    const policy: SimPolicy = {
        choose: (one, excluded) => {
            const { router, load } = daemons[one.daemon]!;
            entriesOf.set(one.req.scope.customer, one.entries);
            const decision = router.chooseUpstream({ ...one.req, excluded });
            const id = decision.isOk ? decision.value.upstream.id : upstreams[0]!.id;
            load.recordInFlight(id, 1);
            return indexOf.get(id)!;
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
            const digest = createHintDigest(daemons[survivor]!.cache, clock.now(), digestBytes);
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
