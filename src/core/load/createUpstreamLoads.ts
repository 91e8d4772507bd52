/**
 * @module
 * Estimates the load of upstreams from what they state in answers to this instance and to others, some time ago, and from
 * this instance's own requests, which are known exactly.
 */
import { createOwnRequests } from "./createOwnRequests.js";
import { createPaceMemory, type PaceMemory } from "./createPaceMemory.js";
import { createServiceMeans, type ServiceMeans } from "./createServiceMeans.js";
import type { LoadedUpstream, LoadEstimate, LoadStatement, StatedLoad } from "./loadTypes.js";
import { predictRequests } from "./predictRequests.js";

/** The answer that stated a load. Times are milliseconds on the instance's clock. */
export interface StatingAnswer {
    readonly sentMs: number;
    readonly receivedMs: number;
    /** Whether the time until the answer says how fast the upstream works: not when it depends on what is cached. */
    readonly isTimed: boolean;
    /** Whether the upstream rejected the request because it has no room. */
    readonly isRejected: boolean;
}

/** Requests of other instances at an upstream, by what they reported themselves. */
export interface ReportedRequests {
    readonly requests: number;
    readonly ageMs: number;
}

/** Load of upstreams. */
export interface UpstreamLoads {
    /** Records that a request of this instance began; `memoryTokens`: memory that it needs at an engine, in tokens. */
    readonly recordBegin: (upstream: string, nowMs: number, memoryTokens?: number) => void;
    /** Records that it ended; `heldMs`: how long it ran there, undefined when it did not run. */
    readonly recordEnd: (upstream: string, heldMs: number | undefined, nowMs: number) => void;
    /** Records what an upstream stated to this instance. */
    readonly recordAnswer: (upstream: string, stated: StatedLoad, answer: StatingAnswer) => void;
    /** Records what upstreams stated to others; older statements than those known change nothing. */
    readonly recordRelayed: (statements: readonly LoadStatement[]) => void;
    /**
     * Estimates the load; undefined while no upstream of the service has stated any. Reports of all other instances count
     * where the newest statement is older.
     */
    readonly estimate: (upstream: string, nowMs: number, reported?: ReportedRequests) => LoadEstimate | undefined;
    /** The newest statement about each upstream. */
    readonly listStatements: () => readonly LoadStatement[];
    readonly remove: (upstream: string) => void;
}

interface LoadState {
    readonly service: ServiceState;
    statement: LoadStatement;
    /** Requests of other instances when it was stated. */
    others: number;
    meanPace: number;
    /** Duration of work here as a factor of the service's mean, at the usual pace. */
    slowness: number;
}

interface ServiceState {
    readonly means: ServiceMeans;
    readonly paces: PaceMemory;
    /** Upstreams of which a statement is known. */
    upstreams: number;
    /** Time of the newest statement. */
    statedMs: number;
}

/** Weights of a new observation in the moving averages of its upstream. */
const paceWeight = 0.1;
const slownessWeight = 0.1;

/** Bounds of an observed slowness: one request that took very long says little about the next. */
const minSlowness = 0.25;
const maxSlowness = 4;

/** Time without statements of a service in which the load that is expected falls by two thirds, in milliseconds. */
const quietMs = 1_000;

/** Lowest pace of an estimate. */
const minPace = 0.1;

/** Most waiting requests that are believed, as a multiple of an upstream's slots. */
const maxWaitingTurns = 2;

/**
 * Bounds a statement: an upstream runs no more requests than it has slots, and the averages of its service would take many
 * statements to recover from an absurd one.
 */
function boundStatement(statement: LoadStatement, slots: number): LoadStatement {
    return {
        ...statement,
        running: Math.min(statement.running, slots),
        waiting: Math.min(statement.waiting, maxWaitingTurns * slots),
    };
}

/**
 * Creates a view without statements.
 *
 * @param findUpstream - Finds an upstream by id; statements about others are not kept.
 * @returns The view.
 * @example
 * createUpstreamLoads(registry.find).estimate("e-1", clock.now()); // undefined
 */
export function createUpstreamLoads(findUpstream: (upstream: string) => LoadedUpstream | undefined): UpstreamLoads {
    const own = createOwnRequests();
    const states = new Map<string, LoadState>();
    const services = new Map<string, ServiceState>();

    function serviceOf(name: string): ServiceState {
        const known = services.get(name);
        if (known !== undefined) {
            return known;
        }
        const state = { means: createServiceMeans(), paces: createPaceMemory(), upstreams: 0, statedMs: -Infinity };
        services.set(name, state);
        return state;
    }

    function recordPace(state: LoadState, statement: LoadStatement, { paces }: ServiceState): void {
        const { pace, atMs } = statement;
        if (pace === undefined) {
            return;
        }
        const before = state.statement.pace;
        if (before !== undefined) {
            paces.record(atMs - state.statement.atMs, before - state.meanPace, pace - state.meanPace);
        }
        state.meanPace += paceWeight * (pace - state.meanPace);
    }

    function recordStatement(stated: LoadStatement): void {
        const { upstream, atMs, slowness } = stated;
        const found = findUpstream(upstream);
        const known = states.get(upstream);
        if (found === undefined || (known !== undefined && known.statement.atMs >= atMs)) {
            return;
        }
        const service = serviceOf(found.service);
        const statement = boundStatement(stated, found.slots);
        const { running, waiting } = statement;
        const others = Math.max(0, running + waiting - own.countAt(upstream, atMs));
        if (known === undefined) {
            service.upstreams += 1;
            const paces = { meanPace: statement.pace ?? 1, slowness: slowness ?? 1 };
            states.set(upstream, { service, statement, others, ...paces });
        }
        else {
            recordPace(known, statement, service);
            known.slowness += slownessWeight * ((slowness ?? known.slowness) - known.slowness);
            known.statement = statement;
            known.others = others;
        }
        service.statedMs = Math.max(service.statedMs, atMs);
        service.means.recordOthers(others, waiting, service.upstreams);
    }

    /** Compares a duration with others of the service, without the wait and the pace that the upstream stated itself. */
    function rateDuration(service: string, { waiting, slots, pace }: StatedLoad, answer: StatingAnswer): number {
        const waitedTurns = 1 + waiting / Math.max(1, slots);
        const tookMs = (answer.receivedMs - answer.sentMs) / waitedTurns / (pace ?? 1);
        return Math.min(maxSlowness, Math.max(minSlowness, serviceOf(service).means.rateDuration(tookMs)));
    }

    function estimatePace(state: LoadState | undefined, paces: PaceMemory, ageMs: number): number {
        if (state === undefined) {
            return 1;
        }
        const { statement, meanPace, slowness } = state;
        const left = ((statement.pace ?? meanPace) - meanPace) * paces.findPersistence(ageMs);
        return Math.max(minPace, slowness * (meanPace + left));
    }

    function estimate(upstream: string, nowMs: number, reported?: ReportedRequests): LoadEstimate | undefined {
        const found = findUpstream(upstream);
        const service = found === undefined ? undefined : services.get(found.service);
        if (found === undefined || service === undefined || service.upstreams === 0) {
            return undefined;
        }
        const { means, paces } = service;
        const state = states.get(upstream);
        const ageMs = state === undefined ? Infinity : nowMs - state.statement.atMs;
        // Where no upstream states anything any more, nothing has been sent: what was expected is over, too.
        const flow = Math.exp(-Math.max(0, nowMs - service.statedMs) / quietMs);
        const stated = { requests: state?.others ?? 0, ageMs };
        const counted = reported !== undefined && reported.ageMs < ageMs ? reported : stated;
        const others = predictRequests({
            counted: counted.requests,
            ageMs: counted.ageMs,
            expected: flow * means.others(),
            holdMs: means.holdMs(),
        });
        const waiting = predictRequests({
            counted: state?.statement.waiting ?? 0,
            ageMs,
            holdMs: means.holdMs(),
            expected: flow * means.waiting(),
        });
        return {
            requests: own.count(upstream) + others.mean,
            deviation: others.deviation,
            waiting: waiting.mean,
            memoryTokens: means.memoryTokens(),
            slots: found.slots,
            pace: estimatePace(state, paces, ageMs),
            isPaceStated: state?.statement.pace !== undefined,
            queueLimit: means.queueLimit(),
            ageMs,
        };
    }

    return {
        recordBegin: (upstream, nowMs, memoryTokens) => {
            own.record(upstream, 1, nowMs);
            const found = findUpstream(upstream);
            if (found !== undefined && memoryTokens !== undefined) {
                serviceOf(found.service).means.recordMemory(memoryTokens);
            }
        },
        recordEnd: (upstream, heldMs, nowMs) => {
            own.record(upstream, -1, nowMs);
            const found = findUpstream(upstream);
            if (found !== undefined && heldMs !== undefined) {
                serviceOf(found.service).means.recordHold(heldMs);
            }
        },
        recordAnswer: (upstream, stated, answer) => {
            const found = findUpstream(upstream);
            if (found !== undefined) {
                const slowness = answer.isTimed ? rateDuration(found.service, stated, answer) : undefined;
                const { running, waiting, pace } = stated;
                if (answer.isRejected && waiting > 0) {
                    serviceOf(found.service).means.recordRejection(waiting);
                }
                recordStatement({ upstream, atMs: answer.receivedMs, running, waiting, pace, slowness });
            }
        },
        recordRelayed: statements => statements.forEach(recordStatement),
        estimate,
        listStatements: () => [...states.values()].map(state => state.statement),
        remove: upstream => {
            own.remove(upstream);
            const state = states.get(upstream);
            if (state !== undefined) {
                state.service.upstreams -= 1;
                states.delete(upstream);
            }
        },
    };
}
