/**
 * @module
 * Lists the upstreams that may run a request: those that serve, are not ejected, and have weights that are recent enough.
 */
import type { ProxyRequest } from "../proxy/proxyTypes.js";
import type { UpstreamRegistry } from "../registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { WeightsView } from "../weights/createWeightsView.js";
import type { Choice } from "./_lib/placementOptions.js";
import type { HealthView } from "./createHealthView.js";
import type { Prompt } from "./placementTypes.js";

/** Dependencies of {@link createChoiceLister}. */
export interface ChoiceListerDependencies {
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly registry: UpstreamRegistry;
    readonly health: HealthView;
    readonly weights: WeightsView;
    /** Time after which no request may begin on weights that are older than the target version, in milliseconds. */
    readonly outdatedLimitMs: number;
}

/** Lists the upstreams that may run a request, other than the excluded ones. */
export type ListChoices = (req: ProxyRequest, excluded: readonly string[]) => readonly Choice[];

/** Time for which an answer made on outdated weights is worth as much as one made on the target version. */
const outdatedGraceMs = 1_400;

/**
 * Creates the lister.
 *
 * @param deps - The views that it reads.
 * @returns The lister.
 * @example
 * createChoiceLister(deps)(req, ["engine-1"]).map(choice => choice.record.id); // ["engine-2"]
 */
export function createChoiceLister(deps: ChoiceListerDependencies): ListChoices {
    const { registry, health, weights } = deps;

    function describeChoice(record: UpstreamRecord, prompt: Prompt | undefined): Choice | undefined {
        if (prompt === undefined) {
            return { record, weightsVersion: undefined, isOutdated: false };
        }
        const weightsVersion = weights.findVersion(record, prompt.model);
        if (weightsVersion === undefined) {
            return undefined;
        }
        const sinceMs = weights.outdatedSinceMs(prompt.model, weightsVersion);
        const outdatedMs = sinceMs === undefined ? 0 : deps.now() - sinceMs;
        const isOutdated = outdatedMs > outdatedGraceMs;
        return outdatedMs > deps.outdatedLimitMs ? undefined : { record, weightsVersion, isOutdated };
    }

    /** Ejected upstreams are listed only when there is no other. */
    return (req, excluded) => {
        const nowMs = deps.now();
        const serving = registry.listService(req.service).filter(record =>
            !record.isDraining && !excluded.includes(record.id) && !weights.isLoading(record.id)
            && !health.isMisdirected(record.id)
        );
        const healthy = serving.filter(record => !health.isEjected(record.id, nowMs));
        return (healthy.length > 0 ? healthy : serving)
            .map(record => describeChoice(record, req.prompt))
            .filter(choice => choice !== undefined);
    };
}
