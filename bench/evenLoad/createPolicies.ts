/**
 * @module
 * Ways to choose an upstream on statements that are some time old: the product's, and simple ones to compare with.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import { createUpstreamLoads, type UpstreamLoads } from "../../src/core/load/createUpstreamLoads.js";
import { choosePlacement } from "../../src/core/placement/choosePlacement.js";
import { describeCandidateLoad } from "../../src/core/placement/describeCandidateLoad.js";
import type { PlacementCandidate } from "../../src/core/placement/placementTypes.js";

/** An upstream among which a policy chooses. */
export interface PolicyUpstream {
    readonly id: string;
    readonly slots: number;
    readonly isSameFailureDomain: boolean;
    /** Requests of this instance, and of its peers by their last reports where there are any. */
    readonly own: number;
    readonly reported: number | undefined;
}

/** What a policy decides on. */
export interface PolicyInputs {
    readonly clock: VirtualClock;
    readonly loads: UpstreamLoads;
}

/** Chooses one of the upstreams; undefined when the request has to wait. */
export type Policy = (upstreams: readonly PolicyUpstream[], inputs: PolicyInputs) => PolicyUpstream | undefined;

/** Mean age of what peers report each 300 ms. */
const reportAgeMs = 150;

const noUse = { memoryTokens: 0, unreadTokens: 0 };

function toCandidate(upstream: PolicyUpstream): PlacementCandidate {
    return {
        id: upstream.id,
        use: { requests: upstream.own + (upstream.reported ?? 0), ...noUse },
        unreported: noUse,
        slots: upstream.slots,
        memoryTokens: undefined,
        prefillTokens: 0,
        repeatedTokens: 0,
        neededTokens: 0,
        isOutdated: false,
        isSameFailureDomain: upstream.isSameFailureDomain,
    };
}

function pick<T>(items: readonly T[], random: () => number): T | undefined {
    return items[Math.floor(random() * items.length)];
}

/** Requests by the newest statement as it was stated. */
function readKnown({ id, own }: PolicyUpstream, { loads }: PolicyInputs): number {
    const stated = loads.listStatements().find(statement => statement.upstream === id);
    return stated === undefined ? own : stated.running + stated.waiting;
}

function findLeast(upstreams: readonly PolicyUpstream[], inputs: PolicyInputs): PolicyUpstream | undefined {
    return upstreams.map(upstream => ({ upstream, known: readKnown(upstream, inputs) / upstream.slots }))
        .toSorted((left, right) => left.known - right.known)[0]?.upstream;
}

const rotate = <T>(items: readonly T[], random: () => number): readonly T[] => {
    const start = Math.floor(random() * items.length);
    return [...items.slice(start), ...items.slice(0, start)];
};

function chooseCandidate(
    upstreams: readonly PolicyUpstream[],
    inputs: PolicyInputs,
    describe: (upstream: PolicyUpstream) => PlacementCandidate,
): PolicyUpstream | undefined {
    const id = choosePlacement(rotate(upstreams, inputs.clock.random).map(describe))?.id;
    return upstreams.find(upstream => upstream.id === id);
}

/** The policies by name. */
export const policies: Readonly<Record<string, Policy>> = {
    random: (upstreams, { clock }) => pick(upstreams, clock.random),
    leastKnown: (upstreams, inputs) => findLeast(rotate(upstreams, inputs.clock.random), inputs),
    twoChoices: (upstreams, inputs) => {
        const [first, second] = rotate(upstreams.toSorted(() => inputs.clock.random() - 0.5), inputs.clock.random);
        return findLeast([first, second].filter(one => one !== undefined), inputs);
    },
    ownRequests: (upstreams, inputs) => chooseCandidate(upstreams, inputs, toCandidate),
    estimate: (upstreams, inputs) =>
        chooseCandidate(upstreams, inputs, upstream => {
            const candidate = toCandidate(upstream);
            const reported = upstream.reported === undefined
                ? undefined
                : { requests: upstream.reported, ageMs: reportAgeMs };
            const load = describeCandidateLoad({
                estimate: inputs.loads.estimate(upstream.id, inputs.clock.now(), reported),
                isFleetDirect: upstream.reported !== undefined,
                ownTokens: 0,
                random: inputs.clock.random,
            });
            return { ...candidate, load };
        }),
};

/** Creates the view of an instance. */
export function createView(slots: number): UpstreamLoads {
    return createUpstreamLoads(() => ({ service: "plain", slots }));
}
