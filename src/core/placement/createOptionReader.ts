/**
 * @module
 * Describes the upstreams that may run a request as candidates of a placement: their use, and what they would have to
 * prefill.
 */
import { heartbeatIntervalMs } from "../fleet/planHeartbeats.js";
import type { UpstreamLoads } from "../load/createUpstreamLoads.js";
import type { LoadEstimate } from "../load/loadTypes.js";
import { deriveCacheSalt } from "../proxy/deriveCacheSalt.js";
import type { ProxyRequest } from "../proxy/proxyTypes.js";
import type { Service } from "../routes/routingTable.js";
import { countOwnTokens, countSharedTokens } from "./_lib/countPromptTokens.js";
import type { Choice, Option } from "./_lib/placementOptions.js";
import type { PromptCacheReader, PromptCacheView } from "./createPromptCacheReader.js";
import type { UpstreamUseTracker } from "./createUpstreamUseTracker.js";
import { describeCandidateLoad } from "./describeCandidateLoad.js";
import type { PlacementCandidate, Prompt, UnreportedUse, UpstreamUse } from "./placementTypes.js";

/** Dependencies of {@link createOptionReader}. */
export interface OptionReaderDependencies {
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly failureDomain: string;
    readonly use: UpstreamUseTracker;
    readonly reader: PromptCacheReader;
    readonly loads: Pick<UpstreamLoads, "estimate">;
    /** Returns a number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    /** Whether each instance hears from all others at short intervals what they place. */
    readonly isFleetDirect: () => boolean;
    readonly findService: (name: string) => Service | undefined;
}

/** Describes the choices for a request. */
export type ReadOptions = (req: ProxyRequest, choices: readonly Choice[]) => readonly Option[];

/** Plain services are placed by requests and, where they state it, by load. */
const noUnreportedUse: UnreportedUse = { memoryTokens: 0, unreadTokens: 0 };

function saltOf(req: ProxyRequest, prompt: Prompt, weightsVersion: number): string {
    const isolatedCustomer = req.customer?.isIsolated === true ? req.customer.name : undefined;
    return deriveCacheSalt({ model: prompt.model, weightsVersion, isolatedCustomer });
}

/**
 * Creates the reader.
 *
 * @param deps - The views that it reads.
 * @returns The reader.
 * @example
 * choosePlacement(createOptionReader(deps)(req, choices).map(option => option.candidate));
 */
export function createOptionReader(deps: OptionReaderDependencies): ReadOptions {
    const { reader, use } = deps;

    /** Reports of peers are half an interval old on average. */
    function estimateLoad(upstream: string, used: UpstreamUse): LoadEstimate | undefined {
        const reported = deps.isFleetDirect()
            ? { requests: used.requests - use.countOwn(upstream), ageMs: heartbeatIntervalMs / 2 }
            : undefined;
        return deps.loads.estimate(upstream, deps.now(), reported);
    }

    function describePlain({ record }: Choice, used: UpstreamUse, ownTokens = 0): PlacementCandidate {
        return {
            id: record.id,
            use: used,
            unreported: noUnreportedUse,
            load: describeCandidateLoad({
                estimate: estimateLoad(record.id, used),
                isFleetDirect: deps.isFleetDirect(),
                ownTokens,
                random: deps.random,
            }),
            slots: record.slots,
            memoryTokens: undefined,
            prefillTokens: 0,
            repeatedTokens: 0,
            neededTokens: 0,
            isOutdated: false,
            isSameFailureDomain: record.failureDomain === deps.failureDomain,
        };
    }

    function describeEngines(req: ProxyRequest, prompt: Prompt, choices: readonly Choice[]): readonly Option[] {
        const engine = deps.findService(req.service)?.engine;
        const views = new Map<number, PromptCacheView>();

        function readView(version: number): PromptCacheView {
            const ids = choices.filter(choice => choice.weightsVersion === version).map(choice => choice.record.id);
            const scope = { weightsVersion: version, salt: saltOf(req, prompt, version) };
            const view = reader.read(req.service, prompt, scope, ids);
            views.set(version, view);
            return view;
        }

        return choices.map(choice => {
            const version = choice.weightsVersion ?? 0;
            const view = views.get(version) ?? readView(version);
            const { id } = choice.record;
            const coverage = reader.describeCoverage(prompt, view, choice.record);
            const isShared = use.holdsShared(id, view.sharedKey);
            const candidate = {
                ...describePlain(choice, view.uses.get(id) ?? use.read(id), countOwnTokens(prompt)),
                unreported: use.estimateUnreported(id, deps.now()),
                slots: engine?.slots ?? choice.record.slots,
                memoryTokens: engine?.memoryTokens,
                prefillTokens: coverage.prefillTokens,
                repeatedTokens: coverage.repeatedTokens,
                neededTokens: countOwnTokens(prompt) + (isShared ? 0 : countSharedTokens(prompt)),
                isOutdated: choice.isOutdated,
            };
            return { choice, candidate, model: { prompt, view, coverage } };
        });
    }

    return (req, choices) =>
        req.prompt === undefined
            ? choices.map((choice): Option => ({
                choice,
                candidate: describePlain(choice, use.read(choice.record.id)),
            }))
            : describeEngines(req, req.prompt, choices);
}
