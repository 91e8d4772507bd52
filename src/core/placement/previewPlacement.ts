/**
 * @module
 * What placement would decide about a request now. It reads what placement reads and changes nothing: no permit is asked for,
 * nothing is queued, and nothing counts as demand.
 */
import type { Refusal } from "../errors/createRefusal.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { Choice, Option } from "./_lib/placementOptions.js";
import { choosePlacement, scorePlacement } from "./choosePlacement.js";
import type { PlacementPreview, PreviewedUpstream } from "./placementPreview.js";
import type { PlacementCandidate } from "./placementTypes.js";

/** What placement reads about a request. */
export interface PreviewSources {
    /** All upstreams of the request's service. */
    readonly known: readonly UpstreamRecord[];
    readonly choices: readonly Choice[];
    readonly options: readonly Option[];
    /** Why no upstream can run the request, however long it waits. */
    readonly obstacle: Refusal | undefined;
    /** Keeps the options that the request considers first. */
    readonly narrow: (options: readonly Option[]) => readonly Option[];
    /** Keeps the candidates that leave enough room to more urgent requests. */
    readonly filter: (candidates: readonly PlacementCandidate[]) => readonly PlacementCandidate[];
    readonly isLimited: (upstream: string) => boolean;
    /** Why an upstream is not among the choices. */
    readonly findExclusion: (record: UpstreamRecord) => string;
}

/** What placement would decide. */
export type PlacementDecision = Pick<PlacementPreview, "decision" | "detail" | "upstreams">;

function describeOption({ choice, candidate, model }: Option, state: string): PreviewedUpstream {
    const heldTokens = model?.coverage.heldTokens ?? 0;
    return {
        upstream: candidate.id,
        failureDomain: choice.record.failureDomain,
        state,
        requests: candidate.load?.estimate.requests ?? candidate.use.requests,
        slots: candidate.slots,
        heldTokens,
        fetchedTokens: Math.max(0, (model?.coverage.source?.heldTokens ?? 0) - heldTokens),
        cost: scorePlacement(candidate).cost,
    };
}

function describeExcluded(record: UpstreamRecord, state: string): PreviewedUpstream {
    const { id, failureDomain, slots } = record;
    return { upstream: id, failureDomain, state, requests: 0, slots, heldTokens: 0, fetchedTokens: 0 };
}

function describeChosen({ choice, candidate, model }: Option): string {
    const { cost } = scorePlacement(candidate);
    const cached = model === undefined ? "" : `; ${model.coverage.heldTokens} prompt tokens are believed kept there`;
    return `would be sent to ${choice.record.id}, the cheapest of those considered with room, at a cost of ${
        cost.toFixed(2)
    }${cached}`;
}

/** Says why the request waits: the first reason that holds for an upstream with room. */
function describeWait(candidates: readonly PlacementCandidate[], kept: ReadonlySet<PlacementCandidate>): string {
    const withRoom = candidates.filter(candidate => scorePlacement(candidate).hasRoom);
    if (withRoom.length === 0) {
        return `would wait: none of ${candidates.length} upstreams that may run it has room`;
    }
    return withRoom.some(candidate => kept.has(candidate))
        ? "would wait for a permit: the upstreams with room state rate limits"
        : `would wait: the room at ${withRoom.length} upstreams is left to more urgent requests`;
}

/**
 * Previews a placement.
 *
 * @param sources - What placement reads about the request.
 * @returns The decision, the reason, and each upstream of the service, the cheapest first.
 * @example
 * previewPlacement(sources).decision; // "placed"
 */
export function previewPlacement(sources: PreviewSources): PlacementDecision {
    const { known, choices, options, obstacle } = sources;
    const candidates = options.map(option => option.candidate);
    const kept = new Set(obstacle === undefined ? sources.filter(candidates) : []);
    const considered = new Set(sources.narrow(options).map(option => option.candidate));
    const unlimited = [...kept].filter(candidate => !sources.isLimited(candidate.id));
    const chosen = choosePlacement(unlimited.filter(candidate => considered.has(candidate)))
        ?? choosePlacement(unlimited);

    function findState(candidate: PlacementCandidate): string {
        if (candidate === chosen) {
            return "chosen";
        }
        if (!scorePlacement(candidate).hasRoom) {
            return "full";
        }
        if (!kept.has(candidate)) {
            return "reserved";
        }
        if (sources.isLimited(candidate.id)) {
            return "limited";
        }
        return considered.has(candidate) ? "free" : "notDrawn";
    }

    const listed = options.map(option => describeOption(option, findState(option.candidate)))
        .toSorted((left, right) => (left.cost ?? 0) - (right.cost ?? 0));
    const excluded = known.filter(record => !choices.some(choice => choice.record.id === record.id))
        .map(record => describeExcluded(record, sources.findExclusion(record)));
    const upstreams = [...listed, ...excluded];
    if (obstacle !== undefined) {
        return { decision: "refused", detail: `would be refused: ${obstacle.detail}`, upstreams };
    }
    const option = options.find(one => one.candidate === chosen);
    return option === undefined
        ? { decision: "waits", detail: describeWait(candidates, kept), upstreams }
        : { decision: "placed", detail: describeChosen(option), upstreams };
}
