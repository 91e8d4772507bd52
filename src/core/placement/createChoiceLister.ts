/**
 * @module
 * Lists the upstreams that may run a request: those that serve, are not ejected, and have weights that are recent enough.
 */
import { hashText } from "../_lib/hashText.js";
import type { ProxyRequest } from "../proxy/proxyTypes.js";
import type { UpstreamRegistry } from "../registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { SignalView } from "../signals/createSignalView.js";
import type { WeightsView } from "../weights/createWeightsView.js";
import type { Choice } from "./_lib/placementOptions.js";
import type { HealthView } from "./createHealthView.js";
import { findExclusion } from "./findExclusion.js";

/** Dependencies of {@link createChoiceLister}. */
export interface ChoiceListerDependencies {
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly registry: UpstreamRegistry;
    readonly health: HealthView;
    readonly weights: WeightsView;
    /** What upstreams have stated in their answers. */
    readonly signals: Pick<SignalView, "findClosure">;
    /**
     * Time after which a request is not sent for weights that are older than the target version, in milliseconds. `hasStarted`:
     * whether its caller has a part of the stream.
     */
    readonly findOutdatedLimitMs: (req: ProxyRequest, model: string, hasStarted: boolean) => number;
    /** Whether each instance hears from all others at short intervals what they place. */
    readonly isFleetDirect: () => boolean;
}

/** What is listed for a request. */
export interface ChoiceQuery {
    readonly excluded: readonly string[];
    readonly hasStarted?: boolean;
}

/** Lists the upstreams that may run a request, other than the excluded ones. */
export type ListChoices = (req: ProxyRequest, query: ChoiceQuery) => readonly Choice[];

/** Begins a list at an item that depends on the request: instances that see equal upstreams choose different ones. */
function rotateList<T>(list: readonly T[], requestId: string): readonly T[] {
    const start = list.length === 0 ? 0 : Number(hashText(requestId) % BigInt(list.length));
    return [...list.slice(start), ...list.slice(0, start)];
}

/** Time for which an answer made on outdated weights is worth as much as one made on the target version. */
const outdatedGraceMs = 1_400;

/**
 * Creates the lister.
 *
 * @param deps - The views that it reads.
 * @returns The lister.
 * @example
 * createChoiceLister(deps)(req, { excluded: ["engine-1"] }).map(choice => choice.record.id); // ["engine-2"]
 */
export function createChoiceLister(deps: ChoiceListerDependencies): ListChoices {
    const { registry, health, weights } = deps;

    function describeChoice(record: UpstreamRecord, req: ProxyRequest, hasStarted: boolean): Choice | undefined {
        const { prompt } = req;
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
        return isOutdated && outdatedMs > deps.findOutdatedLimitMs(req, prompt.model, hasStarted)
            ? undefined
            : { record, weightsVersion, isOutdated };
    }

    /** Ejected upstreams are listed only when there is no other. */
    return (req, { excluded, hasStarted = false }) => {
        const nowMs = deps.now();
        const serving = registry.listService(req.service)
            .filter(record => findExclusion(record, excluded, deps, nowMs) === undefined);
        const healthy = serving.filter(record => !health.isEjected(record.id, nowMs));
        const usable = healthy.length > 0 ? healthy : serving;
        return (deps.isFleetDirect() ? usable : rotateList(usable, req.id))
            .map(record => describeChoice(record, req, hasStarted))
            .filter(choice => choice !== undefined);
    };
}
