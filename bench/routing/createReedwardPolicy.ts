/**
 * @module
 * The product's router in each simulated daemon, driven as the request core drives it.
 */
import { createCacheView, type Holder } from "../../src/core/cache/createCacheView.js";
import type { Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { type CostRouter, createCostRouter } from "../../src/core/routing/createCostRouter.js";
import { createHeatSketch } from "../../src/core/routing/createHeatSketch.js";
import { createLoadView } from "../../src/core/routing/createLoadView.js";
import { type RoutingPreset, routingPresets } from "../../src/core/routing/routingPresets.js";
import type { Clock } from "../../src/core/time/clock.js";
import type { PolicyContext } from "./createBaseline.js";
import type { SimPolicy } from "./simTypes.js";

/** Ways of the cache view that are compared. */
export interface ReedwardOptions {
    /** Whether cache events are read beside the feedback of answers. */
    readonly readsEvents: boolean;
    readonly sampleEvery: number;
    /** Whether the exact backlog of engines is known, to tell what better load knowledge would be worth. */
    readonly knowsBacklog?: boolean;
    /** Whether exact caches are known, to tell what a better cache view would be worth. */
    readonly knowsCaches?: boolean;
    /** Weights that differ from the preset's. */
    readonly weights?: Partial<RoutingPreset>;
}

const viewBytes = 1 << 20;

function findTrueHolders(context: PolicyContext, blocks: readonly bigint[]): readonly Holder[] {
    return context.engines
        .map((engine, index) => ({
            upstream: context.engineIds[index]!,
            cachedBlocks: engine.countCachedBlocks(blocks),
            ageMs: 0,
        }))
        .filter(holder => holder.cachedBlocks > 0);
}

function createDaemon(upstreams: readonly Upstream[], context: PolicyContext, clock: Clock, options: ReedwardOptions) {
    const ownCache = createCacheView({ maxBytes: viewBytes, sampleEvery: options.sampleEvery });
    const ownLoad = createLoadView();
    const engineOf = (id: string) => context.engines[context.engineIds.indexOf(id)]!;
    const load = options.knowsBacklog === true
        ? { ...ownLoad, predictWaitMs: (upstream: Upstream) => engineOf(upstream.id).backlogMs() }
        : ownLoad;
    const cache = options.knowsCaches === true
        ? { ...ownCache, findHolders: (blocks: readonly bigint[]) => findTrueHolders(context, blocks) }
        : ownCache;
    const preset = { ...routingPresets[context.shape.preset], ...options.weights };
    const router: CostRouter = createCostRouter({
        listCandidates: () => upstreams,
        cache,
        load,
        heat: createHeatSketch({ width: 4096, decayMs: 10_000 }),
        readSpread: () => ({
            instances: context.shape.daemons,
            entriesOfCustomer: context.shape.entriesPerCustomer,
        }),
        preset: () => preset,
        now: clock.now,
        random: context.random,
    });
    return { cache, load, router };
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
    const daemons = Array.from({ length: shape.daemons }, () => createDaemon(upstreams, context, clock, options));

    const policy: SimPolicy = {
        choose: (one, excluded) => {
            const { router, load } = daemons[one.daemon]!;
            const decision = router.chooseUpstream({ ...one.req, excluded });
            const id = decision.isOk ? decision.value.upstream.id : upstreams[0]!.id;
            load.noteInFlight(id, 1);
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
        onEnd: (one, engine) => daemons[one.daemon]!.load.noteInFlight(upstreams[engine]!.id, -1),
        onReport: (daemon, engine, load) => {
            const { cache, load: view } = daemons[daemon]!;
            cache.noteIncarnation(upstreams[engine]!.id, load.incarnation);
            view.noteReport(upstreams[engine]!, load, clock.now());
        },
        restart: daemon => {
            daemons[daemon] = createDaemon(upstreams, context, clock, options);
        },
    };
    if (!options.readsEvents) {
        return policy;
    }
    return {
        ...policy,
        nextSequence: (daemon, engine) => daemons[daemon]!.cache.nextSequence(upstreams[engine]!.id),
        onEvents: (daemon, engine, page) =>
            daemons[daemon]!.cache.applyEvents(upstreams[engine]!.id, page, clock.now()),
    };
}
