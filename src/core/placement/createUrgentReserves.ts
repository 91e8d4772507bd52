/**
 * @module
 * Says where a request may be placed without taking the room that more urgent requests of its service are about to need.
 */
import { millisecondsPerSecond } from "../constants.js";
import { computeCallerDeadlines } from "../proxy/computeCallerDeadlines.js";
import type { ProxyRequest } from "../proxy/proxyTypes.js";
import { countOwnTokens } from "./_lib/countPromptTokens.js";
import { minStartMs } from "./_lib/minStartMs.js";
import { waitingAllowance } from "./_lib/waitingAllowance.js";
import { choosePlacement } from "./choosePlacement.js";
import { computeUrgentReserve } from "./computeUrgentReserve.js";
import { createServiceDemand, type Demand } from "./createServiceDemand.js";
import type { CandidateLoad, PlacementCandidate } from "./placementTypes.js";

/** Inputs of a decision that withheld a placement. */
export interface WithheldPlacement {
    readonly service: string;
    readonly priority: number;
    /** Upstreams with room that is left to more urgent requests. */
    readonly withheld: number;
    readonly upstreams: number;
    readonly instances: number;
    /** More urgent requests a second at this instance. */
    readonly urgentPerSecond: number;
    readonly holdMs: number;
    /** Largest reserve at one upstream, in requests. */
    readonly reservedRequests: number;
    /** Time for which the request is kept back at most, in milliseconds. */
    readonly slackMs: number;
}

/** Reserves for urgent requests. */
export interface UrgentReserves {
    /** Records a request on its arrival. */
    readonly recordArrival: (req: ProxyRequest) => void;
    /** Records that a request was placed. */
    readonly begin: (req: ProxyRequest) => void;
    /** Records that a placed request has ended. */
    readonly end: (req: ProxyRequest) => void;
    /** Whether more urgent requests of its service that have less time came lately, and the request may still be kept back. */
    readonly hasReserve: (req: ProxyRequest) => boolean;
    /** Filters the upstreams on which the request leaves enough room. */
    readonly filter: (req: ProxyRequest, candidates: readonly PlacementCandidate[]) => readonly PlacementCandidate[];
    /** Describes why a request was not placed although an upstream has room; undefined when none has. */
    readonly describeWithheld: (
        req: ProxyRequest,
        candidates: readonly PlacementCandidate[],
    ) => WithheldPlacement | undefined;
    /** Largest reserve at one upstream in the latest decision about a less urgent request, in requests. */
    readonly reservedRequests: () => number;
}

/** Options of {@link createUrgentReserves}. */
export interface UrgentReservesOptions {
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    /** Number of instances that may take requests, this one included. */
    readonly countInstances: () => number;
}

interface RunningRequest {
    readonly service: string;
    readonly tokens: number;
    readonly sinceMs: number;
}

/** This instance's requests at the upstreams of a service. */
interface OwnUse {
    requests: number;
    tokens: number;
}

function tokensOf({ prompt }: ProxyRequest): number {
    return prompt === undefined ? 0 : countOwnTokens(prompt);
}

/** Adds a reserve to a load. The request that may wait beyond the slots is not a less urgent one. */
function addToLoad(load: CandidateLoad, reserved: number): CandidateLoad {
    const { estimate } = load;
    return {
        ...load,
        requests: load.requests + reserved,
        estimate: { ...estimate, requests: estimate.requests + reserved + waitingAllowance },
    };
}

/**
 * Creates the reserves, without observed demand.
 *
 * @param options - The clock and the size of the fleet.
 * @returns The reserves.
 * @example
 * const reserves = createUrgentReserves({ now: clock.now, countInstances: () => 8 });
 * choosePlacement(reserves.filter(req, candidates));
 */
export function createUrgentReserves({ now, countInstances }: UrgentReservesOptions): UrgentReserves {
    const demand = createServiceDemand();
    const running = new Map<ProxyRequest, RunningRequest>();
    const own = new Map<string, OwnUse>();
    let latestRequests = 0;

    function changeOwn({ service, tokens }: RunningRequest, sign: number): void {
        const use = own.get(service) ?? { requests: 0, tokens: 0 };
        use.requests += sign;
        use.tokens += sign * tokens;
        own.set(service, use);
    }

    function end(req: ProxyRequest): void {
        const request = running.get(req);
        if (request !== undefined) {
            running.delete(req);
            changeOwn(request, -1);
            demand.recordHold(request.service, now() - request.sinceMs, now());
        }
    }

    const readMoreUrgent = ({ service, priority }: ProxyRequest) => demand.readMoreUrgent(service, priority, now());

    /**
     * Time until the request has to be placed to meet its latency objective, and the part of it that is left. Nothing is left of
     * one whose objective is no longer than that of more urgent ones: it has no time to give.
     */
    function readSlack(req: ProxyRequest, urgent: Demand): { readonly slackMs: number; readonly slack: number; } {
        const isPatient = req.route.targetLatencyMs > urgent.meanObjectiveMs;
        const dueMs = computeCallerDeadlines(req).latencyDeadlineMs - minStartMs;
        const maxMs = isPatient ? Math.max(0, dueMs - req.arrivedMs) : 0;
        const slackMs = maxMs === 0 ? 0 : Math.max(0, dueMs - now());
        return { slackMs, slack: maxMs === 0 ? 0 : slackMs / maxMs };
    }

    /**
     * Adds the reserve to an upstream's use. What is known of the use may lack the peers' requests: they are assumed to place as
     * much as this instance, spread over the upstreams.
     */
    function addReserve(
        req: ProxyRequest,
        candidate: PlacementCandidate,
        urgent: Demand,
        upstreams: number,
    ): PlacementCandidate {
        const instances = Math.max(1, countInstances());
        const ownUse = own.get(req.service) ?? { requests: 0, tokens: 0 };
        const instancesPerUpstream = instances / Math.max(1, upstreams);
        const { slack } = readSlack(req, urgent);
        const addUnknown = (known: number, estimate: number) => known + Math.max(0, estimate - known) * slack;
        const { load } = candidate;
        const requests = load?.estimate.requests
            ?? Math.floor(addUnknown(candidate.use.requests, ownUse.requests * instancesPerUpstream));
        const memoryTokens = addUnknown(candidate.use.memoryTokens, ownUse.tokens * instancesPerUpstream);
        const reserve = computeUrgentReserve({
            urgent,
            instances,
            upstreams,
            holdMs: demand.readHoldMs(req.service) ?? 0,
            running: requests,
            slots: candidate.slots,
            slack,
        });
        if (reserve.requests === 0) {
            return candidate;
        }
        latestRequests = Math.max(latestRequests, reserve.requests);
        const use = {
            ...candidate.use,
            requests: requests + reserve.requests,
            memoryTokens: memoryTokens + reserve.tokens,
        };
        return { ...candidate, use, load: load && addToLoad(load, reserve.requests) };
    }

    function filter(req: ProxyRequest, candidates: readonly PlacementCandidate[]): readonly PlacementCandidate[] {
        const urgent = readMoreUrgent(req);
        if (urgent.requestsPerMs === 0 || readSlack(req, urgent).slackMs === 0) {
            return candidates;
        }
        latestRequests = 0;
        return candidates.filter(candidate =>
            choosePlacement([addReserve(req, candidate, urgent, candidates.length)]) !== undefined
        );
    }

    function describeWithheld(
        req: ProxyRequest,
        candidates: readonly PlacementCandidate[],
    ): WithheldPlacement | undefined {
        const urgent = readMoreUrgent(req);
        const { slackMs } = readSlack(req, urgent);
        const withheld = candidates.filter(candidate => choosePlacement([candidate]) !== undefined).length;
        if (withheld === 0 || slackMs === 0) {
            return undefined;
        }
        return {
            service: req.service,
            priority: req.priority,
            withheld,
            upstreams: candidates.length,
            instances: countInstances(),
            urgentPerSecond: urgent.requestsPerMs * millisecondsPerSecond,
            holdMs: demand.readHoldMs(req.service) ?? 0,
            reservedRequests: latestRequests,
            slackMs,
        };
    }

    return {
        recordArrival: req => {
            const { service, priority, route } = req;
            demand.recordArrival(
                { service, priority, tokens: tokensOf(req), objectiveMs: route.targetLatencyMs },
                now(),
            );
        },
        begin: req => {
            end(req);
            const request = { service: req.service, tokens: tokensOf(req), sinceMs: now() };
            running.set(req, request);
            changeOwn(request, 1);
        },
        end,
        hasReserve: req => {
            const urgent = readMoreUrgent(req);
            return urgent.requestsPerMs > 0 && readSlack(req, urgent).slackMs > 0;
        },
        filter,
        describeWithheld,
        reservedRequests: () => latestRequests,
    };
}
