/**
 * @module
 * Baseline routing policies that the product's router is compared with.
 */
import { scoreRendezvous } from "../../src/core/_lib/scoreRendezvous.js";
import { blockTokens } from "../../src/core/constants.js";
import type { EngineLoad } from "../../src/core/ports/enginePort.js";
import { routingPresets } from "../../src/core/routing/routingPresets.js";
import type { EngineModel } from "./createEngineModel.js";
import type { SimPolicy, SimRequest, SiteShape } from "./simTypes.js";

/** Inputs from which a policy is created. */
export interface PolicyContext {
    readonly shape: SiteShape;
    readonly engines: readonly EngineModel[];
    readonly engineIds: readonly string[];
    readonly random: () => number;
}

/** Names of the baseline policies. */
export type BaselineName = "random" | "roundRobin" | "leastLoaded" | "powerOfTwo" | "rendezvous" | "oracle";

function listRemaining(context: PolicyContext, excluded: ReadonlySet<string>): readonly number[] {
    const remaining = context.engineIds.map((_, index) => index).filter(index =>
        !excluded.has(context.engineIds[index]!)
    );
    return remaining.length === 0 ? context.engineIds.map((_, index) => index) : remaining;
}

function pickCheapest(
    indexes: readonly number[],
    computeCost: (index: number) => number,
    random: () => number,
): number {
    const costs = indexes.map(computeCost);
    const minCost = Math.min(...costs);
    const ties = indexes.filter((_, position) => costs[position] === minCost);
    return ties[Math.floor(random() * ties.length)]!;
}

/** Load as seen by a daemon: the last report plus the requests that it has sent since. */
function createReportedLoad(context: PolicyContext) {
    const loadCount = context.shape.daemons * context.engineIds.length;
    const loads = new Float64Array(loadCount);
    const at = (daemon: number, engine: number) => daemon * context.engineIds.length + engine;
    return {
        read: (daemon: number, engine: number) => loads[at(daemon, engine)]!,
        recordSend: (daemon: number, engine: number) => {
            loads[at(daemon, engine)]! += 1;
        },
        onReport: (daemon: number, engine: number, load: EngineLoad) => {
            loads[at(daemon, engine)] = load.queuedRequests + load.runningRequests;
        },
    };
}

function createRandom(context: PolicyContext): SimPolicy {
    return {
        choose: (_, excluded) => {
            const remaining = listRemaining(context, excluded);
            return remaining[Math.floor(context.random() * remaining.length)]!;
        },
    };
}

function createRoundRobin(context: PolicyContext): SimPolicy {
    const next = Array.from({ length: context.shape.daemons }, (_, daemon) => daemon);
    return {
        choose: (request, excluded) => {
            const remaining = listRemaining(context, excluded);
            next[request.daemon]! += 1;
            return remaining[next[request.daemon]! % remaining.length]!;
        },
    };
}

function createLeastLoaded(
    context: PolicyContext,
    sampleCandidates: (remaining: readonly number[]) => readonly number[],
): SimPolicy {
    const load = createReportedLoad(context);
    return {
        choose: (request, excluded) => {
            const remaining = sampleCandidates(listRemaining(context, excluded));
            const chosen = pickCheapest(remaining, engine => load.read(request.daemon, engine), context.random);
            load.recordSend(request.daemon, chosen);
            return chosen;
        },
        onReport: load.onReport,
    };
}

function sampleTwo(remaining: readonly number[], random: () => number): readonly number[] {
    const first = Math.floor(random() * remaining.length);
    const second = (first + 1 + Math.floor(random() * (remaining.length - 1))) % remaining.length;
    return [remaining[first]!, remaining[second]!];
}

function createRendezvous(context: PolicyContext): SimPolicy {
    const { placementBlocks } = routingPresets[context.shape.preset];
    const score = (request: SimRequest, engine: number) =>
        scoreRendezvous(request.req.blocks[placementBlocks - 1]!, context.engineIds[engine]!);
    return {
        choose: (request, excluded) =>
            listRemaining(context, excluded).reduce((best, engine) =>
                score(request, engine) > score(request, best) ? engine : best
            ),
    };
}

function createOracle(context: PolicyContext): SimPolicy {
    const { shape, engines } = context;
    function computeCost(request: SimRequest, engine: number): number {
        const model = engines[engine]!;
        if (!model.isUp()) {
            return Infinity;
        }
        const missing = request.ids.length - model.countCached(request.ids);
        const prefillMs = (missing * blockTokens * 1000) / shape.prefillTokensPerSecond;
        return model.backlogMs() + prefillMs;
    }
    return {
        choose: (request, excluded) =>
            pickCheapest(listRemaining(context, excluded), engine => computeCost(request, engine), context.random),
    };
}

/** Creates a policy by its name. */
export function createBaseline(name: BaselineName, context: PolicyContext): SimPolicy {
    switch (name) {
        case "random":
            return createRandom(context);
        case "roundRobin":
            return createRoundRobin(context);
        case "leastLoaded":
            return createLeastLoaded(context, remaining => remaining);
        case "powerOfTwo":
            return createLeastLoaded(context, remaining => sampleTwo(remaining, context.random));
        case "rendezvous":
            return createRendezvous(context);
        case "oracle":
            return createOracle(context);
    }
}
